#ifndef TREFOILBEND_REGISTRY_INTERNAL_RELEASE_WRITER_H_
#define TREFOILBEND_REGISTRY_INTERNAL_RELEASE_WRITER_H_

#include "internal/metrics.h"
#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/platform/store.h"
#include "trefoilbend/registry/catalogue.h"

namespace trefoilbend::registry::internal {

/** @brief Writes the steps of releases to the store, each guarded by the
 * release's order, its row and the lease of the writer. */
class ReleaseWriter {
 public:
  /**
   * @brief Makes a writer.
   * @param store Store to write to; outlives the writer.
   * @param catalogue Knows the rows that guard a step; outlives the writer.
   * @param metrics Counts the calls; outlives the writer.
   */
  ReleaseWriter(platform::Store& store, const Catalogue& catalogue,
                Metrics& metrics)
      : store(store), catalogue(catalogue), metrics(metrics) {}

  /**
   * @brief Sets the ring for results.
   * @param ring Ring that outlives the writer.
   */
  void Start(core::Ring<configuration::ChangeResult>& ring) {
    this->results = &ring;
  }

  /**
   * @brief Commits the step of a release; other changes are refused.
   * @param request Step with the rows of the lease.
   */
  void Commit(const configuration::ChangeRequest& request);

 private:
  void CommitStep(configuration::RequestId request,
                  const inventory::Release& after,
                  const platform::Transaction& transaction);
  void Finish(configuration::RequestId request,
              decltype(configuration::ChangeResult::result) result);

  platform::Store& store;
  const Catalogue& catalogue;
  Metrics& metrics;
  core::Ring<configuration::ChangeResult>* results{};
  core::Log log{"registry"};
};

}  // namespace trefoilbend::registry::internal

#endif  // TREFOILBEND_REGISTRY_INTERNAL_RELEASE_WRITER_H_
