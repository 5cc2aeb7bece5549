#ifndef TREFOILBEND_ROLLOUT_FWD_H_
#define TREFOILBEND_ROLLOUT_FWD_H_

namespace trefoilbend::rollout {

struct ReleaseId;
struct Comparison;
struct Observation;
struct Tally;
struct StratumKey;
struct Stratum;
struct Finding;
struct Traffic;
struct PlanInput;
struct PlannedStep;
struct ReleasePlan;
struct Capacity;
struct Situation;
struct Verdict;
struct ExchangeSummary;
struct EvidenceReport;
struct BrakeOrder;
struct HeldLease;
struct Orders;
struct OutgoingReport;
struct PeerReport;

class VersionChooser;
class SequentialTest;
class Evidence;
class FaultDetector;
class Controller;
class Brakes;
class EvidenceBook;
class Coordinator;
class PeersDuty;
class RolloutDuty;

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_FWD_H_
