#include "internal/release_writer.h"

#include <utility>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::registry::internal {

void ReleaseWriter::Commit(const configuration::ChangeRequest& request) {
  for (const inventory::Change& change : request.changes) {
    const auto* after = change.after
                            ? std::get_if<inventory::Release>(&*change.after)
                            : nullptr;
    if (after != nullptr) {
      platform::Transaction transaction = this->catalogue.MoveRelease(*after);
      transaction.conditions.insert(transaction.conditions.end(),
                                    request.fences.begin(),
                                    request.fences.end());
      this->CommitStep(request.request, *after, transaction);
      return;
    }
  }
  this->Finish(request.request,
               configuration::ChangeRefused{
                   .effect_unknown = false,
                   .message = "Only releases can be changed here."});
}

void ReleaseWriter::CommitStep(const configuration::RequestId request,
                               const inventory::Release& after,
                               const platform::Transaction& transaction) {
  this->store.Transact(
      transaction,
      [this, request, after](const platform::TransactOutcome& outcome) {
        const auto* failure = std::get_if<platform::Unavailable>(&outcome);
        this->metrics.CountCall("write", failure == nullptr);
        if (std::holds_alternative<platform::Committed>(outcome)) {
          this->log.Info(
              "Release moved. service={} version={} state={} share={}",
              after.name.Text(), after.version.Text(),
              static_cast<int>(after.state), after.share);
          this->Finish(request, configuration::ChangeAccepted{});
          return;
        }
        this->Finish(
            request,
            configuration::ChangeRefused{
                .effect_unknown = failure != nullptr && failure->effect_unknown,
                .message = failure == nullptr ? "A row has changed meanwhile."
                                              : failure->message});
      });
}

void ReleaseWriter::Finish(
    const configuration::RequestId request,
    decltype(configuration::ChangeResult::result) result) {
  core::CheckInvariant(
      this->results->TryPush({.request = request, .result = std::move(result)}),
      "the ring for results has room for every request's "
      "result");
}

}  // namespace trefoilbend::registry::internal
