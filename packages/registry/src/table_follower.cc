#include "internal/table_follower.h"

#include <algorithm>
#include <random>
#include <utility>

namespace trefoilbend::registry::internal {

namespace {

/** Time that the store has for an answer beside the wait that it is asked for;
 * a connection that went silent gives none. */
constexpr std::chrono::milliseconds kAnswerTime{500};
constexpr platform::BackoffLimits kBackoff{
    .first = std::chrono::milliseconds{200},
    .most = std::chrono::milliseconds{1'000}};

/** Time after which it is looked again whether peers' news were passed on. */
constexpr std::chrono::milliseconds kBacklogTime{50};

core::TimePoint Now() noexcept { return std::chrono::steady_clock::now(); }

/** The rows that changes leave of a table of which nothing was known. */
platform::TableState StateOf(const platform::TableChanges& changes) {
  platform::TableState state{.rows = {}, .position = changes.position};
  for (const platform::RowChange& change : changes.changes) {
    if (!change.deleted) {
      state.rows.push_back(change.row);
    }
  }
  return state;
}

}  // namespace

TableFollower::TableFollower(FollowerOwner& owner,
                             boost::asio::io_context& context,
                             const Table table, std::string name,
                             const WatchPace& pace)
    : owner(owner),
      table(table),
      name(std::move(name)),
      pace(pace),
      timer(context),
      backoff(kBackoff, std::random_device{}()) {}

void TableFollower::Read() {
  this->reading = true;
  this->watching = false;
  this->owner.GetStore().ReadTable(
      this->name,
      [this, begun = ++this->turn](const platform::TableOutcome& outcome) {
        if (begun == this->turn) {
          this->OnRead(outcome);
        }
      });
}

void TableFollower::OnRead(const platform::TableOutcome& outcome) {
  const auto* failure = std::get_if<platform::Unavailable>(&outcome);
  this->owner.GetMetrics().CountCall("read", failure == nullptr);
  this->NoteAnswer(failure == nullptr,
                   failure == nullptr ? "" : failure->message);
  if (failure != nullptr) {
    this->After(this->backoff.Fail(), &TableFollower::Read);
    return;
  }
  const auto& state = std::get<platform::TableState>(outcome);
  Catalogue& catalogue = this->owner.GetCatalogue();
  if (state.position.Precedes(catalogue.PositionOf(this->table))) {
    this->OnStaleRead(state.position);
    this->After(this->backoff.Fail(), &TableFollower::Read);
    return;
  }
  this->known = true;
  this->reading = false;
  this->NoteTold(state.position, Now(), configuration::ToldBy::kStore);
  (void)catalogue.Take(this->table, state, Now());
  this->LogChanges(state.rows.size(), configuration::ToldBy::kStore, Now());
  this->owner.NoteLearnt(this->table, state);
  this->owner.NoteRead();
  this->owner.NoteChange();
  if (this->active) {
    this->Watch();
  }
}

void TableFollower::OnStaleRead(const platform::Position& told) {
  Catalogue& catalogue = this->owner.GetCatalogue();
  const platform::Position known = catalogue.PositionOf(this->table);
  catalogue.NoteAnswered(this->table, Now());
  this->owner.GetMetrics().stale.Increment();
  this->log.Info(
      "Read is stale. table={} era={} version={} known_era={} known={}",
      this->name, told.Era().Value(), told.Version().Value(),
      known.Era().Value(), known.Version().Value());
}

void TableFollower::Activate() {
  if (std::exchange(this->active, true) || this->reading) {
    return;
  }
  this->Watch();
}

void TableFollower::SetPace(const WatchPace& now_pace) {
  const bool shorter = now_pace.wait < this->pace.wait;
  this->pace = now_pace;
  if (shorter && this->watching) {
    this->Watch();
  }
}

void TableFollower::AwaitAnswer() {
  this->timer.expires_after(this->pace.wait + kAnswerTime);
  this->timer.async_wait([this](const boost::system::error_code error) {
    if (!error && this->watching) {
      this->owner.GetMetrics().CountCall("watch", false);
      this->NoteAnswer(false, "no answer in time");
      this->Watch();
    }
  });
}

void TableFollower::Rest() {
  this->active = false;
  if (!this->reading) {
    ++this->turn;
    this->watching = false;
    this->timer.cancel();
  }
}

void TableFollower::Hear(const feed::TableNews& news,
                         const std::optional<core::TimePoint> as_of) {
  Catalogue& catalogue = this->owner.GetCatalogue();
  const platform::Position told =
      std::visit([](const auto& one) { return one.position; }, news);
  if (as_of) {
    this->NoteTold(told, *as_of, configuration::ToldBy::kPeer);
  }
  const bool knew_nothing =
      catalogue.PositionOf(this->table) == platform::Position{};
  feed::TableNews learnt = news;
  std::size_t rows = 0;
  if (const auto* state = std::get_if<platform::TableState>(&news)) {
    if (!catalogue.Take(this->table, *state, Now())) {
      return;
    }
    rows = state->rows.size();
  } else {
    const auto& changes = std::get<platform::TableChanges>(news);
    catalogue.Take(this->table, changes, Now());
    rows = changes.changes.size();
    if (knew_nothing) {
      // Earlier programs give changes to a peer that knows nothing, without the
      // deletions from before their own start.
      learnt = StateOf(changes);
    }
  }
  this->LogChanges(rows, configuration::ToldBy::kPeer, as_of.value_or(Now()));
  this->owner.NoteLearnt(this->table, std::move(learnt));
  this->owner.NoteChange();
}

void TableFollower::HearConfirmed(const core::TimePoint as_of) {
  this->NoteConfirmed(as_of, configuration::ToldBy::kPeer);
}

void TableFollower::NoteTold(const platform::Position& position,
                             const core::TimePoint as_of,
                             const configuration::ToldBy by) {
  if (this->owner.GetCatalogue().IsInForce(position)) {
    this->NoteConfirmed(as_of, by);
    return;
  }
  this->owner.GetCatalogue().NoteAnswered(this->table, as_of);
  this->unconfirmed = std::pair{as_of, by};
}

void TableFollower::ConfirmEra() {
  if (const auto told = std::exchange(this->unconfirmed, std::nullopt)) {
    this->NoteConfirmed(told->first, told->second);
  }
}

void TableFollower::NoteConfirmed(const core::TimePoint as_of,
                                  const configuration::ToldBy by) {
  const core::TimePoint before = this->confirmed_at.value_or(as_of);
  if (as_of < before) {
    return;
  }
  this->told_by = by;
  this->confirmed_at = as_of;
  this->owner.GetCatalogue().NoteConfirmed(this->table, as_of);
  this->owner.GetMetrics().CountGap(this->name, as_of - before);
}

void TableFollower::LogChanges(const std::size_t changes,
                               const configuration::ToldBy by,
                               const core::TimePoint as_of) const {
  const bool own = by == configuration::ToldBy::kStore;
  const platform::Position known =
      this->owner.GetCatalogue().PositionOf(this->table);
  this->log.Info(
      "Table has changed. table={} era={} version={} rows={} told_by={} "
      "age_ms={}",
      this->name, known.Era().Value(), known.Version().Value(), changes,
      own ? "store" : "peer",
      std::chrono::duration_cast<std::chrono::milliseconds>(Now() - as_of)
          .count());
}

void TableFollower::Watch() {
  if (this->owner.IsBacklogged()) {
    this->After(kBacklogTime, &TableFollower::Watch);
    return;
  }
  this->watching = true;
  this->owner.GetStore().Watch(
      this->name, this->owner.GetCatalogue().PositionOf(this->table),
      this->pace.wait,
      [this, sent = Now(),
       begun = ++this->turn](const platform::ChangesOutcome& outcome) {
        if (begun == this->turn) {
          this->OnWatched(outcome, sent);
        }
      });
  this->AwaitAnswer();
}

void TableFollower::OnWatched(const platform::ChangesOutcome& outcome,
                              const core::TimePoint sent) {
  this->watching = false;
  this->timer.cancel();
  const auto* failure = std::get_if<platform::Unavailable>(&outcome);
  this->owner.GetMetrics().CountCall("watch", failure == nullptr);
  if (std::holds_alternative<platform::HistoryLost>(outcome)) {
    this->log.Info("History is lost, reads anew. table={}", this->name);
    this->Read();
    return;
  }
  this->NoteAnswer(failure == nullptr,
                   failure == nullptr ? "" : failure->message);
  if (failure != nullptr) {
    this->After(std::min(this->backoff.Fail(), this->pace.most_backoff),
                &TableFollower::Watch);
    return;
  }
  const auto& changes = std::get<platform::TableChanges>(outcome);
  Catalogue& catalogue = this->owner.GetCatalogue();
  if (!changes.position.SharesEraWith(catalogue.PositionOf(this->table))) {
    this->OnOtherEra(changes.position);
    return;
  }
  this->NoteTold(changes.position, Now(), configuration::ToldBy::kStore);
  catalogue.Take(this->table, changes, Now());
  this->owner.NoteLearnt(this->table, changes);
  this->owner.NoteWatched(sent);
  if (changes.changes.empty()) {
    this->Watch();
    return;
  }
  this->LogChanges(changes.changes.size(), configuration::ToldBy::kStore,
                   Now());
  this->owner.NoteChange();
  this->After(this->pace.pause, &TableFollower::Watch);
}

/** The versions of a later era say nothing of what the table lacks, even if
 * they are higher than those known. */
void TableFollower::OnOtherEra(const platform::Position& told) {
  const platform::Position known =
      this->owner.GetCatalogue().PositionOf(this->table);
  if (told.IsOfEarlierEraThan(known)) {
    this->OnStaleRead(told);
    this->After(this->backoff.Fail(), &TableFollower::Watch);
    return;
  }
  this->log.Info(
      "Store is in a later era, reads anew. table={} era={} known={}",
      this->name, told.Era().Value(), known.Era().Value());
  this->Read();
}

void TableFollower::NoteAnswer(const bool now_answers,
                               const std::string& message) {
  if (now_answers) {
    this->backoff.Reset();
  }
  if (std::exchange(this->answers, now_answers) == now_answers) {
    return;
  }
  this->owner.NoteAnswers();
  if (now_answers) {
    this->log.Info("Store answers again. table={}", this->name);
  } else {
    this->log.Warn("Store does not answer. table={} cause=\"{}\"", this->name,
                   message);
  }
}

void TableFollower::After(const std::chrono::milliseconds delay,
                          void (TableFollower::*step)()) {
  this->timer.expires_after(delay);
  this->timer.async_wait([this, step](const boost::system::error_code error) {
    if (!error) {
      (this->*step)();
    }
  });
}

}  // namespace trefoilbend::registry::internal
