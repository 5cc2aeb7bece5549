#include "trefoilbend/inventory/snapshot.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "trefoilbend/inventory/codec.h"

namespace trefoilbend::inventory {

namespace {

using nlohmann::json;

constexpr int kFormat = 1;

std::uint64_t ChecksumOf(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

using Numbers = std::vector<std::uint64_t>;

/** Versions and eras stand apart, as earlier programs write versions alone. */
std::vector<core::Position> SourcesFrom(const json& snapshot) {
  const Numbers versions = snapshot.value("sources", Numbers{});
  Numbers eras = snapshot.value("eras", Numbers{});
  eras.resize(versions.size());
  std::vector<core::Position> sources;
  for (std::size_t at = 0; at < versions.size(); ++at) {
    sources.emplace_back(core::Era{eras[at]}, core::RowVersion{versions[at]});
  }
  return sources;
}

}  // namespace

const char* ToString(const SnapshotProblem problem) noexcept {
  switch (problem) {
    case SnapshotProblem::kMalformed:
      return "it is malformed";
    case SnapshotProblem::kChecksum:
      return "its checksum is wrong";
    case SnapshotProblem::kNewerFormat:
      return "a newer program wrote it; upgrade this one";
  }
  return "";
}

std::string EncodeSnapshot(const Configuration& configuration) {
  Revised all{.revision = configuration.Revision(),
              .change_id = {},
              .who = {},
              .why = {},
              .at = {},
              .by = {},
              .changes = {}};
  for (const auto& [key, object] : configuration.Objects()) {
    all.changes.push_back({.before = std::nullopt, .after = object});
  }
  Numbers versions;
  Numbers eras;
  for (const core::Position& source : configuration.Sources()) {
    versions.push_back(source.Version().Value());
    eras.push_back(source.Era().Value());
  }
  const std::string body = Encode(all);
  return json{{"format", kFormat},
              {"checksum", ChecksumOf(body)},
              {"sources", versions},
              {"eras", eras},
              {"body", body}}
      .dump();
}

std::variant<ConfigurationPtr, SnapshotProblem> DecodeSnapshot(
    const std::string_view text) {
  try {
    const json snapshot = json::parse(text);
    if (snapshot.at("format").get<int>() > kFormat) {
      return SnapshotProblem::kNewerFormat;
    }
    const auto body = snapshot.at("body").get<std::string>();
    if (snapshot.at("checksum").get<std::uint64_t>() != ChecksumOf(body)) {
      return SnapshotProblem::kChecksum;
    }
    const auto all = DecodeRevised(body);
    if (!all) {
      return SnapshotProblem::kNewerFormat;
    }
    return Configuration::Builder{}
        .Apply(*all)
        .From(SourcesFrom(snapshot))
        .Build();
  } catch (const json::exception&) {
    return SnapshotProblem::kMalformed;
  }
}

}  // namespace trefoilbend::inventory
