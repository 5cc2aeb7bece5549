#include "internal/peer_source.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::registry::internal {

namespace {

/** Time after the start within which the first peers become known. */
constexpr std::chrono::milliseconds kStartTime{500};
/** Longest time for which a reader, which confirms more often that there are no
 * news, may keep this entry waiting. */
constexpr std::chrono::milliseconds kWait{800};
constexpr std::chrono::milliseconds kNoWait{0};

core::TimePoint Now() noexcept { return std::chrono::steady_clock::now(); }

}  // namespace

PeerSource::PeerSource(PeerSourceOwner& owner, boost::asio::io_context& context,
                       const inventory::Instance& self)
    : owner(owner),
      plan(self.name, self.data_centre),
      start_timer(context),
      stale_timer(context),
      retry_timer(context) {}

void PeerSource::Start(core::Ring<feed::ToFeed>& ring) {
  this->feed = &ring;
  this->start_timer.expires_after(kStartTime);
  this->start_timer.async_wait([this](const boost::system::error_code error) {
    if (!error && this->mode == Mode::kUndecided && !this->waits_for_answer) {
      this->Decide();
    }
  });
}

void PeerSource::Configure(const std::vector<feed::Candidate>& live) {
  if (this->plan.Configure(live) && this->HasStarted() && !this->asks_earlier) {
    this->Decide();
  }
}

bool PeerSource::HasStarted() const {
  return this->feed != nullptr && this->start_timer.expiry() <= Now();
}

void PeerSource::AskEarlier(const feed::Candidate& of) {
  this->Send(of, kNoWait, true);
  this->asks_earlier = this->waits_for_answer;
}

/** Another question takes the place of the one for the era before. */
void PeerSource::GiveUpEarlier() {
  if (std::exchange(this->asks_earlier, false)) {
    this->owner.HearEarlier(std::nullopt);
  }
}

void PeerSource::Decide() {
  this->GiveUpEarlier();
  if (this->plan.IsReader()) {
    this->waits_for_answer = false;
    this->BeginReading("reader");
    return;
  }
  if (const auto chosen = this->plan.Choose(Now())) {
    this->Send(*chosen, kNoWait);
    return;
  }
  this->BeginReading("no-peer");
  this->TryLater();
}

void PeerSource::BeginReading(const char* why) {
  if (std::exchange(this->mode, Mode::kReads) != Mode::kReads) {
    this->stale_timer.cancel();
    this->log.Info("Reads the store itself. reason={}", why);
  }
  this->owner.ReadStore();
}

void PeerSource::BeginListening(const feed::Candidate& to) {
  if (std::exchange(this->mode, Mode::kListens) != Mode::kListens) {
    this->log.Info("Listens to a peer. peer={}", to.name.Text());
    this->owner.LeaveStoreToPeer();
  }
}

void PeerSource::Send(const feed::Candidate& to,
                      const std::chrono::milliseconds wait,
                      const bool wants_earlier) {
  this->asked = this->asked.Next();
  this->peer = to;
  this->waits_for_answer =
      this->feed->TryPush(feed::Ask{.id = this->asked,
                                    .peer = to.address,
                                    .after = this->owner.KnownPositions(),
                                    .wait = wait,
                                    .confirmed = this->plan.Confirmed(),
                                    .wants_earlier = wants_earlier});
  if (!this->waits_for_answer && !wants_earlier) {
    this->OnFailed("ring-full");
  }
}

void PeerSource::Take(const feed::Answer& answer) {
  if (!this->waits_for_answer || answer.id != this->asked) {
    return;
  }
  this->waits_for_answer = false;
  const auto* heard = std::get_if<feed::Heard>(&answer.result);
  if (std::exchange(this->asks_earlier, false)) {
    this->owner.HearEarlier(heard == nullptr ? std::nullopt : heard->earlier);
    if (this->HasStarted()) {
      this->Decide();
    }
    return;
  }
  if (heard != nullptr) {
    this->OnHeard(*heard);
  } else {
    this->log.Info("Peer does not tell its news. peer={} cause=\"{}\"",
                   this->peer.name.Text(),
                   std::get<feed::NotHeard>(answer.result).cause);
    this->OnFailed("peer-silent");
  }
}

void PeerSource::OnHeard(const feed::Heard& heard) {
  if (!this->owner.Hear(heard)) {
    this->OnFailed("peer-in-earlier-era");
    return;
  }
  if (!heard.store_answers) {
    this->OnFailed("peer-cut-off");
    return;
  }
  if (!this->plan.NoteAnswer(this->peer.address, heard.confirmed, Now())) {
    this->OnFailed("peer-stale");
    return;
  }
  this->BeginListening(this->peer);
  this->AwaitStale();
  this->Send(this->peer, kWait);
}

/** The store is read at once, and another reader is asked meanwhile. */
void PeerSource::OnFailed(const char* why) {
  this->GiveUpEarlier();
  (void)this->plan.NoteAnswer(this->peer.address, std::nullopt, Now());
  this->waits_for_answer = false;
  this->BeginReading(why);
  this->Decide();
}

void PeerSource::AwaitStale() {
  this->stale_timer.expires_at(this->plan.FreshUntil().value_or(Now()));
  this->stale_timer.async_wait([this](const boost::system::error_code error) {
    if (!error && this->mode == Mode::kListens) {
      this->OnFailed("peer-stale");
    }
  });
}

void PeerSource::TryLater() {
  this->retry_timer.expires_after(feed::kDistrust);
  this->retry_timer.async_wait([this](const boost::system::error_code error) {
    if (!error && this->mode == Mode::kReads && !this->waits_for_answer) {
      this->Decide();
    }
  });
}

}  // namespace trefoilbend::registry::internal
