#ifndef TREFOILBEND_BALANCING_FWD_H_
#define TREFOILBEND_BALANCING_FWD_H_

namespace trefoilbend::balancing {

struct ColdShare;
struct TargetState;
struct SubmitCall;
struct CancelCall;
struct CallBroken;
struct CallRefused;
struct StopSending;

class WarmUp;
class Quantile;
class AttemptBudget;
class Strategy;
class TargetTable;
class Dispatcher;
class BalancingDuty;

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_FWD_H_
