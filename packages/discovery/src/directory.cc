#include "trefoilbend/discovery/directory.h"

#include <xxhash.h>

#include <algorithm>

namespace trefoilbend::discovery {

namespace {

struct Ranked {
  const inventory::Instance* entry;
  bool far;
  std::uint64_t weight;
};

std::uint64_t RendezvousWeight(const std::string& caller,
                               const std::string& entry) {
  const std::uint64_t seed = XXH64(caller.data(), caller.size(), 0);
  return XXH64(entry.data(), entry.size(), seed);
}

}  // namespace

Answer Directory::Ask(const Question& question) {
  std::vector<Ranked> ranked;
  if (this->update.configuration == nullptr) {
    return {};
  }
  const auto is_listed_live = [&](const core::InstanceName& name) {
    return std::any_of(this->update.listed->begin(), this->update.listed->end(),
                       [&](const platform::ListedInstance& listed) {
                         return listed.name == name &&
                                listed.state == platform::InstanceState::kLive;
                       });
  };
  for (const inventory::Instance* entry :
       this->update.configuration->Entries()) {
    const bool stopping =
        std::find(this->excluded.begin(), this->excluded.end(), entry->name) !=
        this->excluded.end();
    if (!stopping && is_listed_live(entry->name) &&
        !this->update.configuration->IsOut(entry->data_centre)) {
      ranked.push_back(
          {.entry = entry,
           .far = entry->data_centre != question.near,
           .weight = RendezvousWeight(question.caller, entry->name.Text())});
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.far != b.far ? b.far : a.weight > b.weight;
  });
  Answer answer;
  for (const Ranked& one : ranked) {
    answer.entries.push_back(one.entry->address);
  }
  std::uniform_int_distribution<std::int64_t> jitter{this->keep.count() / 2,
                                                     this->keep.count()};
  answer.keep = std::chrono::milliseconds{jitter(this->random)};
  return answer;
}

}  // namespace trefoilbend::discovery
