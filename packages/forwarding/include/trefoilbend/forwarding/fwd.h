#ifndef TREFOILBEND_FORWARDING_FWD_H_
#define TREFOILBEND_FORWARDING_FWD_H_

namespace trefoilbend::forwarding {

struct ResumePoint;
struct Options;
struct StartExchange;
struct CancelExchange;
struct WithdrawExchange;
struct ContinueAnswer;
struct AbandonAnswer;
struct AnswerStarted;
struct AnswerContinued;
struct AnswerBroken;
struct ConnectionUse;
struct ExchangeEnded;
struct ExchangeBegan;
struct LoadReport;

class ForwardingDuty;
class RefusedRequests;

}  // namespace trefoilbend::forwarding

#endif  // TREFOILBEND_FORWARDING_FWD_H_
