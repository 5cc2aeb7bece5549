#include "trefoilbend/platform/lease.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace trefoilbend::platform {

namespace {

using nlohmann::json;

struct LeaseValue {
  LeaseHolder holder;
  Epoch epoch;
};

std::string Encode(const LeaseValue& value) {
  return json{{"holder", value.holder.name.Text()},
              {"incarnation", value.holder.incarnation.Value()},
              {"epoch", value.epoch.Value()}}
      .dump();
}

LeaseValue Decode(const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return {};
  }
  return {.holder = {.name = core::InstanceName{value.value("holder", "")},
                     .incarnation = core::Incarnation{value.value(
                         "incarnation", std::uint64_t{0})}},
          .epoch = Epoch{value.value("epoch", std::uint64_t{0})}};
}

}  // namespace

LeaseHolder HolderOf(const Row& row) { return Decode(row.value).holder; }

Lease::Lease(std::string key, LeaseHolder self, const LeaseTimes times)
    : key(std::move(key)), self(std::move(self)), times(times) {}

std::optional<Transaction> Lease::Attempt(const std::optional<Row>& row,
                                          const core::TimePoint now) {
  const RowVersion found = row ? row->version : kAbsent;
  const LeaseValue value = row ? Decode(row->value) : LeaseValue{};
  if (!this->seen || this->seen->version != found) {
    this->seen = Seen{.version = found, .since = now};
  }
  const bool own = value.holder == this->self;
  const bool lapsed = !row || now - this->seen->since >= this->times.length;
  if (!own && !lapsed) {
    this->Lose();
    return std::nullopt;
  }
  this->attempted_epoch = own ? value.epoch : value.epoch.Next();
  return Transaction{
      .conditions = {{.key = this->key, .version = found}},
      .writes = {{.key = this->key,
                  .value = Encode({.holder = this->self,
                                   .epoch = this->attempted_epoch})}}};
}

void Lease::Renew(const Committed& committed, const core::TimePoint sent) {
  this->epoch = this->attempted_epoch;
  this->version = committed.version.value_or(this->seen->version.Next());
  this->held_until = sent + this->times.length - this->times.margin;
}

Condition Lease::Fence() const {
  return {.key = this->key, .version = this->version};
}

}  // namespace trefoilbend::platform
