#ifndef TREFOILBEND_CALLERS_FWD_H_
#define TREFOILBEND_CALLERS_FWD_H_

namespace trefoilbend::callers {

struct Limits;
struct KeyLimits;
struct Options;
struct Outlets;
struct StopTimes;

class BodyBudget;
class BodyLease;
class CallersDuty;
class StopPlan;

}  // namespace trefoilbend::callers

#endif  // TREFOILBEND_CALLERS_FWD_H_
