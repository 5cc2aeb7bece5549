#include "internal/refusal_notes.h"

#include <chrono>

#include "trefoilbend/http/message.h"

namespace trefoilbend::callers::internal {

core::Refusal RefusalNotes::Tell(const core::CallRequest& request,
                                 const core::Refusal& refusal,
                                 const Holdings& holdings) {
  if (this->lines.Allow(std::chrono::steady_clock::now())) {
    this->log.Info(
        "Refused at the door. id={} host={} path={} reason={} calls={} "
        "body_bytes={} revision={}",
        request.id, request.host, http::PathOf(request.path),
        core::ToString(refusal.reason), holdings.calls, holdings.body_bytes,
        holdings.revision);
  }
  return this->Count(refusal);
}

core::Refusal RefusalNotes::Count(const core::Refusal& refusal) {
  this->metrics.CountRefusal(refusal);
  return refusal;
}

}  // namespace trefoilbend::callers::internal
