#ifndef TREFOILCTL_EXPLAIN_H_
#define TREFOILCTL_EXPLAIN_H_

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace trefoilbend::ctl {

/** @brief A log of one entry. */
struct LogFile {
  /** @brief Name that stands before its lines. */
  std::string name;
  /** @brief Lines of the log. */
  std::istream* lines{};
};

/**
 * @brief Tells the story of one request from the logs of several entries.
 * @param id Identity of the request.
 * @param logs Logs to search.
 * @param out Takes the lines about the request, in the order of their times.
 * @return Number of lines.
 */
std::size_t Explain(const std::string& id, const std::vector<LogFile>& logs,
                    std::ostream& out);

/**
 * @brief Carries out the command explain.
 * @param id Identity of the request.
 * @param files Files with logs; - is standard input.
 * @return Exit code.
 */
[[nodiscard]] int ExplainFiles(const std::string& id,
                               const std::vector<std::string>& files);

}  // namespace trefoilbend::ctl

#endif  // TREFOILCTL_EXPLAIN_H_
