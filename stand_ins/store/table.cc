#include "store/table.h"

namespace trefoilbend::stand_ins {

using nlohmann::json;

namespace {

Place PlaceOf(const json& row) {
  return {row.at("TableName").get<std::string>(),
          row.at("Key").get<std::string>()};
}

}  // namespace

json VersionedTable::Encode(const Place& place, const std::string& value,
                            const std::uint64_t version) {
  return {{"TableName", place.first},
          {"part", ""},
          {"Key", place.second},
          {"Value", value},
          {"Ver", version}};
}

std::optional<json> VersionedTable::Commit(const json& transaction) {
  json conflicts = json::array();
  for (const json& expected : transaction.value("ExpectedRev", json::array())) {
    const auto row = this->rows.find(PlaceOf(expected));
    const std::uint64_t found =
        row == this->rows.end() ? 0 : row->second.version;
    if (found != expected.at("Ver").get<std::uint64_t>() &&
        row != this->rows.end()) {
      conflicts.push_back(Encode(row->first, row->second.value, found));
    } else if (found != expected.at("Ver").get<std::uint64_t>()) {
      conflicts.push_back(Encode(PlaceOf(expected), "", 0));
    }
  }
  if (!conflicts.empty()) {
    return conflicts;
  }
  ++this->version;
  for (const json& write : transaction.value("Writes", json::array())) {
    const Place place = PlaceOf(write);
    const auto value = write.at("Value").get<std::string>();
    this->rows[place] = {value, this->version};
    this->history.push_back({place, value, this->version});
  }
  for (const json& removed : transaction.value("Remove", json::array())) {
    const Place place = PlaceOf(removed);
    if (this->rows.erase(place) > 0) {
      this->history.push_back({place, std::nullopt, this->version});
    }
  }
  return std::nullopt;
}

json VersionedTable::Range(const std::string& table, const std::string& from,
                           const std::size_t limit) const {
  json found = json::array();
  bool has_more = false;
  for (auto row = this->rows.lower_bound({table, from});
       row != this->rows.end() && row->first.first == table; ++row) {
    if (found.size() == limit) {
      has_more = true;
      break;
    }
    found.push_back(Encode(row->first, row->second.value, row->second.version));
  }
  return {{"Rows", std::move(found)},
          {"HasMore", has_more},
          {"Ver", this->version}};
}

std::optional<json> VersionedTable::Changes(const std::string& table,
                                            const std::uint64_t after) const {
  if (after < this->forgotten || after > this->version) {
    return std::nullopt;
  }
  json changed = json::array();
  for (const Change& change : this->history) {
    if (change.version <= after || change.place.first != table) {
      continue;
    }
    changed.push_back(
        Encode(change.place, change.value.value_or(""), change.version));
    if (!change.value) {
      changed.back()["Deleted"] = true;
    }
  }
  return json{{"Rows", std::move(changed)}, {"Ver", this->version}};
}

std::map<std::string, std::optional<std::string>> VersionedTable::Since(
    const std::string& table, const VersionedTable& copy) const {
  std::map<std::string, std::optional<std::string>> since;
  for (const auto& [place, row] : this->rows) {
    const auto copied = copy.rows.find(place);
    if (place.first == table &&
        (copied == copy.rows.end() || copied->second.version != row.version)) {
      since.emplace(place.second, row.value);
    }
  }
  for (const auto& [place, row] : copy.rows) {
    if (place.first == table && !this->rows.contains(place)) {
      since.emplace(place.second, std::nullopt);
    }
  }
  return since;
}

void VersionedTable::ForgetHistory() {
  this->history.clear();
  this->forgotten = this->version;
}

}  // namespace trefoilbend::stand_ins
