#include "calls/caller.h"

#include <nlohmann/json.hpp>

namespace trefoilbend::tests {

namespace {

http::Request MakeReservation(const std::string& key, const std::string& body) {
  return {
      .method = "POST",
      .target = "/reserve",
      .fields = {{"Host", "stock"}, {"Call-Id", key}, {"Idempotency-Key", key}},
      .body = body};
}

}  // namespace

std::string Caller::PrefixFrom(const std::string& entry) const {
  const auto outcome = Fleet::Send(this->fleet.AddressOf(entry),
                                   {.method = "GET",
                                    .target = "/v1/entries?service=stock",
                                    .fields = {},
                                    .body = {}});
  if (!core::Succeeded(outcome)) {
    return {};
  }
  return nlohmann::json::parse(core::ValueOf(outcome).body)
      .value("key_prefix", std::string{});
}

Seen Caller::Reserve(const std::string& entry, const std::string& key,
                     const std::string& body) const {
  const auto outcome =
      Fleet::Send(this->fleet.AddressOf(entry), MakeReservation(key, body));
  if (!core::Succeeded(outcome)) {
    return {};
  }
  const http::Response& response = core::ValueOf(outcome);
  const auto field = [&](const char* name) {
    return std::string{http::FindField(response.fields, name).value_or("")};
  };
  return {.status = response.status,
          .body = response.body,
          .outcome = field("Trefoilbend-Outcome"),
          .reason = field("Trefoilbend-Reason")};
}

void Caller::ReserveAndLeave(const std::string& entry, const std::string& key,
                             const std::chrono::milliseconds after) const {
  (void)http::SendAndWait(this->fleet.AddressOf(entry),
                          MakeReservation(key, "mirror"), after);
}

int Caller::RunsOf(const std::string& key) const {
  int runs = 0;
  for (std::size_t i = 1; i <= this->fleet.Targets(); ++i) {
    const auto counts = this->fleet.Counts("stock-" + std::to_string(i));
    runs += counts.at("runs_by_key").value(key, 0);
  }
  return runs;
}

}  // namespace trefoilbend::tests
