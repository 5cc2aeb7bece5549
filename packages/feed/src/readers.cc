#include "trefoilbend/feed/readers.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace trefoilbend::feed {

namespace {

constexpr std::size_t kLeastReaders = 2;
constexpr std::size_t kEntriesPerReader = 50;

std::uint64_t HashOf(const std::string& text) noexcept {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

std::size_t ReaderCount(const std::size_t entries) noexcept {
  return std::max(kLeastReaders,
                  (entries + kEntriesPerReader - 1) / kEntriesPerReader);
}

std::vector<Candidate> ChooseReaders(std::vector<Candidate> candidates,
                                     const std::size_t count) {
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) {
        return std::tuple{b.processor_percent, HashOf(a.name.Text()), a.name} <
               std::tuple{a.processor_percent, HashOf(b.name.Text()), b.name};
      });
  std::set<core::DataCentreName> represented;
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [&represented](const Candidate& candidate) {
        return represented.insert(candidate.data_centre).second;
      });
  candidates.resize(std::min(count, candidates.size()));
  return candidates;
}

void OrderFor(std::vector<Candidate>& readers, const core::InstanceName& self,
              const core::DataCentreName& data_centre) {
  const auto rank = [&](const Candidate& reader) {
    return std::pair{reader.data_centre != data_centre,
                     HashOf(self.Text() + '/' + reader.name.Text())};
  };
  std::sort(readers.begin(), readers.end(),
            [&rank](const Candidate& a, const Candidate& b) {
              return rank(a) < rank(b);
            });
}

}  // namespace trefoilbend::feed
