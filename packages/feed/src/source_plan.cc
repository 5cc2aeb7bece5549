#include "trefoilbend/feed/source_plan.h"

#include <algorithm>

namespace trefoilbend::feed {

bool SourcePlan::Configure(const std::vector<Candidate>& live) {
  std::vector<Candidate> next = ChooseReaders(live, ReaderCount(live.size()));
  const auto own = std::find_if(
      next.begin(), next.end(),
      [this](const Candidate& reader) { return reader.name == this->self; });
  const bool reads = own != next.end();
  this->has_listeners = next.size() < live.size();
  if (reads) {
    next.clear();
  }
  OrderFor(next, this->self, this->data_centre);
  const bool changed = reads != this->is_reader || next != this->readers;
  this->is_reader = reads;
  this->readers = std::move(next);
  if (reads) {
    this->confirmed.reset();
  }
  return changed;
}

std::optional<Candidate> SourcePlan::Choose(const core::TimePoint now) {
  std::erase_if(this->distrusted,
                [now](const auto& entry) { return entry.second <= now; });
  for (const Candidate& reader : this->readers) {
    if (!this->distrusted.contains(reader.address)) {
      return reader;
    }
  }
  return std::nullopt;
}

bool SourcePlan::NoteAnswer(const http::Address& address,
                            const std::optional<core::TimePoint> now_confirmed,
                            const core::TimePoint now) {
  if (now_confirmed && now - *now_confirmed < kMostAge) {
    this->confirmed = now_confirmed;
    return true;
  }
  this->distrusted.insert_or_assign(address, now + kDistrust);
  this->confirmed.reset();
  return false;
}

std::optional<core::TimePoint> SourcePlan::FreshUntil() const {
  return this->confirmed ? std::optional{*this->confirmed + kMostAge}
                         : std::nullopt;
}

}  // namespace trefoilbend::feed
