#include "internal/connection_metrics.h"

namespace trefoilbend::forwarding::internal {

ConnectionMetrics::ConnectionMetrics(prometheus::Registry& registry)
    : open(prometheus::BuildGauge()
               .Name("trefoilbend_target_connections")
               .Help("Connections open to targets.")
               .Register(registry)
               .Add({})),
      opened(prometheus::BuildCounter()
                 .Name("trefoilbend_target_connections_opened_total")
                 .Help("New connections to targets.")
                 .Register(registry)
                 .Add({})),
      waits(prometheus::BuildCounter()
                .Name("trefoilbend_target_connection_waits_total")
                .Help("Exchanges that waited for a connection.")
                .Register(registry)
                .Add({})),
      skipped(prometheus::BuildCounter()
                  .Name("trefoilbend_target_answers_skipped_total")
                  .Help("Answers of targets to other requests than the one "
                        "that was due.")
                  .Register(registry)
                  .Add({})),
      avoided(prometheus::BuildCounter()
                  .Name("trefoilbend_target_connections_avoided_total")
                  .Help("Connections closed since they had refused the request "
                        "that was to be sent.")
                  .Register(registry)
                  .Add({})) {}

}  // namespace trefoilbend::forwarding::internal
