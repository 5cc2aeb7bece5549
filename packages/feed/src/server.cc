#include "internal/server.h"

#include <algorithm>
#include <chrono>
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

platform::RowVersion AfterOf(const capnp::List<std::uint64_t>::Reader after,
                             const std::size_t table) {
  return table < after.size()
             ? platform::RowVersion{after[static_cast<unsigned>(table)]}
             : platform::RowVersion{};
}

}  // namespace

Server::Server(const std::size_t tables, kj::Timer& timer)
    : images(tables, TableImage{kRememberedDeletions}), timer(timer) {}

void Server::Take(const Learnt& learnt) {
  TableImage& image = this->images.at(learnt.table);
  const platform::RowVersion before = image.Newest();
  image.Take(learnt.news);
  if (image.HasNews(before)) {
    this->WakeAll();
  }
}

void Server::Take(const Confirmation& now_confirmed) {
  const bool turned =
      now_confirmed.store_answers != this->confirmation.store_answers;
  this->confirmation = now_confirmed;
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
  if (wait == 0 || this->HasNews(params.getAfter()) ||
      !this->confirmation.store_answers || this->IsNewerThan(known) ||
      this->waiting.size() >= kMostWaiting) {
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

bool Server::HasNews(const capnp::List<std::uint64_t>::Reader after) const {
  for (std::size_t table = 0; table < this->images.size(); ++table) {
    if (this->images[table].HasNews(AfterOf(after, table))) {
      return true;
    }
  }
  return false;
}

Heard Server::After(const capnp::List<std::uint64_t>::Reader after) const {
  Heard heard{.tables = {},
              .confirmed = this->confirmation.at,
              .store_answers = this->confirmation.store_answers};
  for (std::size_t table = 0; table < this->images.size(); ++table) {
    const platform::RowVersion known = AfterOf(after, table);
    if (this->images[table].HasNews(known)) {
      heard.tables.push_back(
          {.table = table, .news = this->images[table].After(known)});
    }
  }
  return heard;
}

void Server::Tell(WatchContext context) const {
  Encode(this->After(context.getParams().getAfter()),
         std::chrono::steady_clock::now(), context.getResults().initNews());
}

void Server::WakeAll() {
  for (auto& fulfiller : this->waiting) {
    fulfiller->fulfill();
  }
}

}  // namespace trefoilbend::feed::internal
