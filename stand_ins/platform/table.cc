#include "platform/table.h"

namespace trefoilbend::stand_ins {

using nlohmann::json;

json Table::Commit(const json& transaction) {
  json conflicts = json::array();
  for (const json& condition : transaction.at("conditions")) {
    const auto key = condition.at("key").get<std::string>();
    if (this->VersionOf(key) != condition.at("version").get<std::uint64_t>()) {
      json row = this->Read(key);
      conflicts.push_back(row.is_null() ? json{{"key", key}, {"version", 0}}
                                        : std::move(row));
    }
  }
  if (!conflicts.empty()) {
    return conflicts;
  }
  for (const json& write : transaction.at("writes")) {
    const auto key = write.at("key").get<std::string>();
    if (write.contains("value")) {
      this->rows[key] = {.value = write.at("value").get<std::string>(),
                         .version = this->VersionOf(key) + 1};
    } else {
      this->rows.erase(key);
    }
  }
  return conflicts;
}

json Table::Read(const std::string& key) const {
  const auto found = this->rows.find(key);
  if (found == this->rows.end()) {
    return nullptr;
  }
  return {{"key", key},
          {"value", found->second.value},
          {"version", found->second.version}};
}

json Table::ReadRange(const std::string& prefix, const std::string& after,
                      const std::size_t limit) const {
  json found = json::array();
  for (auto row = this->rows.upper_bound(std::max(prefix, after));
       row != this->rows.end() && found.size() < limit &&
       row->first.starts_with(prefix);
       ++row) {
    found.push_back(this->Read(row->first));
  }
  return found;
}

std::uint64_t Table::VersionOf(const std::string& key) const {
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? 0 : found->second.version;
}

}  // namespace trefoilbend::stand_ins
