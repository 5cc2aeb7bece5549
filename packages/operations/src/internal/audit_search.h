#ifndef TREFOILBEND_OPERATIONS_INTERNAL_AUDIT_SEARCH_H_
#define TREFOILBEND_OPERATIONS_INTERNAL_AUDIT_SEARCH_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "trefoilbend/core/number.h"
#include "trefoilbend/http/message.h"
#include "trefoilbend/http/server.h"
#include "trefoilbend/operations/audit_filter.h"
#include "trefoilbend/platform/client.h"

namespace trefoilbend::operations::internal {

/** @brief A look through the audit trail that takes several reads and keeps
 * itself alive until it has answered. */
class AuditSearch : public std::enable_shared_from_this<AuditSearch> {
 public:
  /**
   * @brief Reads the wanted entries from a command's query.
   * @param platform Client of the table, which outlives the search.
   * @param target Path and query of the command.
   * @param respond Takes the answer.
   */
  AuditSearch(platform::Client& platform, const std::string& target,
              http::Respond respond);

  /** @brief Reads the next rows, and answers once no more are wanted. */
  void Read();

 private:
  void Take(const std::vector<platform::Row>& rows);

  platform::Client& platform;
  AuditFilter filter;
  std::uint64_t limit{};
  core::Revision after;
  nlohmann::json found = nlohmann::json::array();
  http::Respond respond;
};

}  // namespace trefoilbend::operations::internal

#endif  // TREFOILBEND_OPERATIONS_INTERNAL_AUDIT_SEARCH_H_
