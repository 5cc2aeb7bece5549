#include <vector>

#include "trefoilbend/balancing/dispatcher.h"

namespace trefoilbend::balancing {

bool Dispatcher::MaySend(const CallState& call) const noexcept {
  return call.request->deadline <= this->answers_until;
}

void Dispatcher::RemoveWaiting(const core::CallId id, const CallState& call) {
  if (!this->pending_probes.Remove(id)) {
    this->services.at(call.request->service).queue.Remove(id);
  }
}

/** What is written already goes on: its target may be at work on it. */
Decisions Dispatcher::Stop(const StopSending& order,
                           const core::TimePoint now) {
  this->answers_until = order.answers_until;
  std::vector<core::CallId> waiting;
  Decisions withdrawals;
  for (const auto& [id, call] : this->calls) {
    if (this->MaySend(call)) {
      continue;
    }
    if (call.exchanges.empty()) {
      waiting.push_back(id);
    }
    for (const core::ExchangeId exchange : call.exchanges) {
      withdrawals.emplace_back(forwarding::WithdrawExchange{exchange});
    }
  }
  Decisions decisions;
  for (const core::CallId id : waiting) {
    this->RemoveWaiting(id, this->calls.at(id));
    this->Refuse(id, core::RefusalReason::kStopping, now, decisions);
  }
  decisions.insert(decisions.end(), withdrawals.begin(), withdrawals.end());
  return decisions;
}

}  // namespace trefoilbend::balancing
