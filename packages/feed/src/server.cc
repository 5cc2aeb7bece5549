#include "internal/server.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "internal/feed_codec.h"

namespace trefoilbend::feed::internal {

namespace {

constexpr std::size_t kRememberedDeletions = 256;
/** Peers that may wait for news at the same time; others are told at once. */
constexpr std::size_t kMostWaiting = 512;
/** Least time between two confirmations that peers are told at once. */
constexpr std::chrono::milliseconds kConfirmationStep{300};
constexpr std::uint32_t kLongestWaitMs = 5'000;
/** Time after a return of the store for which the tables before it are told;
 * what it lacks is written again by then. */
constexpr std::chrono::milliseconds kEarlierTime{10'000};

std::optional<std::uint64_t> NumberAt(
    const capnp::List<std::uint64_t>::Reader numbers, const std::size_t at) {
  return at < numbers.size() ? std::optional{numbers[static_cast<unsigned>(at)]}
                             : std::nullopt;
}

}  // namespace

Server::Server(const std::size_t tables, kj::Timer& timer)
    : images(tables, TableImage{kRememberedDeletions}), timer(timer) {}

void Server::Take(const Learnt& learnt) {
  TableImage& image = this->images.at(learnt.table);
  const platform::Position before = image.Newest();
  image.Take(learnt.news);
  if (before.IsOfEarlierEraThan(image.Newest())) {
    this->earlier_until = std::chrono::steady_clock::now() + kEarlierTime;
  }
  if (image.HasNews(before)) {
    this->WakeAll();
  }
}

void Server::Take(const Confirmation& now_confirmed) {
  const bool turned =
      now_confirmed.store_answers != this->confirmation.store_answers;
  this->confirmation = now_confirmed;
  if (this->earlier_until <= std::chrono::steady_clock::now()) {
    for (TableImage& image : this->images) {
      image.ForgetEarlier();
    }
  }
  if (turned || this->IsNewerThan(this->told_at)) {
    this->told_at = now_confirmed.at.value_or(this->told_at);
    this->WakeAll();
  }
}

kj::Promise<void> Server::watch(WatchContext context) {
  const auto params = context.getParams();
  const std::uint32_t wait = std::min(params.getWaitMs(), kLongestWaitMs);
  const core::TimePoint known =
      params.getKnown() ? std::chrono::steady_clock::now() -
                              std::chrono::milliseconds{params.getAgeMs()}
                        : core::TimePoint{};
  if (wait == 0 || this->HasNews(params) || !this->confirmation.store_answers ||
      this->IsNewerThan(known) || this->waiting.size() >= kMostWaiting) {
    this->Tell(context);
    return kj::READY_NOW;
  }
  auto woken = kj::newPromiseAndFulfiller<void>();
  const auto place =
      this->waiting.insert(this->waiting.end(), kj::mv(woken.fulfiller));
  return woken.promise
      .exclusiveJoin(this->timer.afterDelay(wait * kj::MILLISECONDS))
      .then([this, context]() mutable { this->Tell(context); })
      .attach(kj::defer([this, place] { this->waiting.erase(place); }));
}

bool Server::IsNewerThan(const core::TimePoint known) const noexcept {
  return this->confirmation.at &&
         *this->confirmation.at >= known + kConfirmationStep;
}

/** Earlier programs tell no eras: their versions are taken for those of the
 * image's era, as they take the image's for theirs. */
platform::Position Server::KnownTo(const WatchParams::Reader peer,
                                   const std::size_t table) const {
  const platform::Era era = this->images[table].Known().Era();
  return {platform::Era{NumberAt(peer.getEras(), table).value_or(era.Value())},
          platform::RowVersion{NumberAt(peer.getAfter(), table).value_or(0)}};
}

bool Server::HasNews(const WatchParams::Reader peer) const {
  for (std::size_t table = 0; table < this->images.size(); ++table) {
    if (this->images[table].HasNews(this->KnownTo(peer, table))) {
      return true;
    }
  }
  return false;
}

Heard Server::After(const WatchParams::Reader peer) const {
  Heard heard{.tables = {},
              .confirmed = this->confirmation.at,
              .era = this->confirmation.era,
              .store_answers = this->confirmation.store_answers};
  for (std::size_t table = 0; table < this->images.size(); ++table) {
    const platform::Position known = this->KnownTo(peer, table);
    if (this->images[table].HasNews(known)) {
      heard.tables.push_back(
          {.table = table, .news = this->images[table].After(known)});
    }
  }
  if (peer.getWantsEarlier()) {
    heard.earlier = this->EarlierThan(peer);
  }
  return heard;
}

std::optional<EarlierEra> Server::EarlierThan(
    const WatchParams::Reader peer) const {
  const core::TimePoint now = std::chrono::steady_clock::now();
  EarlierEra earlier{.tables = {}, .until = now + kEarlierTime};
  for (std::size_t table = 0; table < this->images.size(); ++table) {
    const TableImage& image = this->images[table];
    if (image.Known().IsOfEarlierEraThan(this->KnownTo(peer, table))) {
      earlier.tables.push_back(image.Content());
    } else if (image.Earlier() && now < this->earlier_until) {
      earlier.tables.push_back(*image.Earlier());
      earlier.until = std::min(earlier.until, this->earlier_until);
    } else {
      return std::nullopt;
    }
  }
  return earlier;
}

void Server::Tell(WatchContext context) const {
  Encode(this->After(context.getParams()), std::chrono::steady_clock::now(),
         context.getResults().initNews());
}

void Server::WakeAll() {
  for (auto& fulfiller : this->waiting) {
    fulfiller->fulfill();
  }
}

}  // namespace trefoilbend::feed::internal
