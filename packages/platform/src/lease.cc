#include "trefoilbend/platform/lease.h"

#include <algorithm>
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

void Lease::NoteEra(const Era now_era, const core::TimePoint now) noexcept {
  if (this->era < now_era) {
    this->era = now_era;
    this->era_since = now;
  }
}

void Lease::NoteEpoch(const Epoch seen) noexcept {
  this->highest_epoch = std::max(this->highest_epoch, seen);
}

std::optional<Transaction> Lease::Attempt(const FoundRow& found,
                                          const core::TimePoint now) {
  this->NoteEra(found.era, now);
  const Position at = found.row ? found.row->position : kAbsent;
  const LeaseValue value = found.row ? Decode(found.row->value) : LeaseValue{};
  this->NoteEpoch(value.epoch);
  if (!this->seen || this->seen->position != at ||
      this->seen->era != found.era) {
    this->seen = Seen{.position = at, .era = found.era, .since = now};
  }
  const bool own =
      value.holder == this->self && this->attempted_era == found.era;
  const bool reasserts =
      this->IsHeldByTheClock(now) && this->position.Era() < found.era;
  if (!own && !reasserts && !this->HasLapsed(found, now)) {
    this->Lose();
    return std::nullopt;
  }
  const bool keeps_epoch =
      own || (reasserts && this->epoch == this->highest_epoch);
  this->attempted_epoch = keeps_epoch ? std::max(value.epoch, this->epoch)
                                      : this->highest_epoch.Next();
  this->attempted_era = found.era;
  return Transaction{
      .conditions = {{.key = this->key, .position = at}},
      .writes = {{.key = this->key,
                  .value = Encode({.holder = this->self,
                                   .epoch = this->attempted_epoch})}}};
}

/** A store that tells no era has lost no row. In another one the row may be
 * missing because the store came back from a copy. */
bool Lease::HasLapsed(const FoundRow& found,
                      const core::TimePoint now) const noexcept {
  if (found.row) {
    return now - this->seen->since >= this->times.length;
  }
  return found.era == Era{} || now - this->era_since >= this->times.length;
}

/** A commit in a later era than that of the attempt tells nothing of who held
 * the lease in between. */
void Lease::Renew(const Committed& committed, const core::TimePoint sent) {
  const Position now_at =
      committed.position.value_or(this->seen->position.Next());
  if (now_at.Era() != this->attempted_era) {
    return;
  }
  this->epoch = this->attempted_epoch;
  this->NoteEpoch(this->epoch);
  this->position = now_at;
  this->held_until = sent + this->times.length - this->times.margin;
}

Condition Lease::Fence() const {
  return {.key = this->key, .position = this->position};
}

}  // namespace trefoilbend::platform
