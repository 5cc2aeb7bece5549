#include "internal/answers.h"

#include <array>

#include "trefoilbend/inventory/codec.h"

namespace trefoilbend::operations::internal {

namespace {

using nlohmann::json;

constexpr std::uint16_t kClash = 409;
constexpr std::uint16_t kUnavailable = 503;

}  // namespace

http::Response Answer(const std::uint16_t status, const json& body) {
  return {.status = status, .fields = {}, .body = body.dump()};
}

http::Response Problem(const std::uint16_t status, const std::string& message) {
  return Answer(status, {{"error", message}});
}

json ToJson(const settings::Mistakes& mistakes) {
  json lines = json::array();
  for (const settings::Mistake& mistake : mistakes) {
    lines.push_back(settings::ToString(mistake));
  }
  return lines;
}

json ToJson(const std::vector<membership::Peer>& peers) {
  static constexpr std::array<const char*, 4> kStates{"alive", "suspect",
                                                      "leaving", "dead"};
  json list = json::array();
  for (const membership::Peer& peer : peers) {
    list.push_back({{"name", peer.name.Text()},
                    {"incarnation", peer.incarnation.Value()},
                    {"state", kStates.at(static_cast<std::size_t>(peer.state))},
                    {"revision", peer.revision.Value()}});
  }
  return list;
}

http::Response ToResponse(const configuration::ChangeAccepted& accepted) {
  return Answer(200, {{"revision", accepted.revision.Value()}});
}

http::Response ToResponse(const configuration::ChangeClash& clash) {
  const std::string other =
      clash.other.who.empty() ? "another operator" : clash.other.who;
  return Answer(kClash,
                {{"error", "Another change came first, by " + other +
                               ". Look at it and repeat the command."},
                 {"other", json::parse(inventory::Encode(clash.other))}});
}

http::Response ToResponse(const configuration::ChangeRefused& refused) {
  return Answer(kUnavailable, {{"error", refused.message},
                               {"effect_unknown", refused.effect_unknown}});
}

}  // namespace trefoilbend::operations::internal
