#include "internal/claims.h"

#include <utility>
#include <variant>
#include <vector>

#include "trefoilbend/http/client.h"

namespace trefoilbend::callers::internal {

Claims::Claims(boost::asio::io_context& context, const Options& options,
               const core::WallClock& clock)
    : platform(http::Client::Create(context), options.platform,
               options.platform_timeout),
      timer(context),
      period(options.keys.claim_sweep),
      sweep(options.keys.claim_retention),
      clock(clock) {}

void Claims::Record(const std::string& row, const idempotency::Home& home,
                    std::function<void(const idempotency::ClaimStep&)> done) {
  this->platform.Transact(
      idempotency::MakeClaim(row, home),
      [this, row, home,
       done = std::move(done)](const platform::TransactOutcome& outcome) {
        const auto step = idempotency::Settle(outcome, home);
        if (!std::holds_alternative<idempotency::ReadClaimBack>(step)) {
          done(step);
          return;
        }
        this->platform.Read(row, [done](const platform::ReadOutcome& read) {
          done(idempotency::Settle(read));
        });
      });
}

void Claims::StartSweep() {
  this->timer.expires_after(this->period);
  this->timer.async_wait([this](const boost::system::error_code error) {
    if (!error) {
      this->Sweep();
      this->StartSweep();
    }
  });
}

void Claims::Sweep() {
  this->platform.ReadRange(
      idempotency::kClaimRows, this->sweep.After(),
      idempotency::ClaimSweep::kPage,
      [this](const platform::RangeOutcome& outcome) {
        const auto* rows = std::get_if<std::vector<platform::Row>>(&outcome);
        if (rows == nullptr) {
          this->log.Info("Left old claims to a later sweep. reason=\"{}\"",
                         std::get<platform::Unavailable>(outcome).message);
          return;
        }
        const auto now =
            std::chrono::time_point_cast<std::chrono::milliseconds>(
                this->clock.Now());
        const auto deletion = this->sweep.Take(*rows, now);
        if (!deletion.writes.empty()) {
          this->platform.Transact(
              deletion, [this](const platform::TransactOutcome& result) {
                if (std::holds_alternative<platform::Unavailable>(result)) {
                  this->log.Info("Left old claims to a later sweep.");
                }
              });
        }
      });
}

}  // namespace trefoilbend::callers::internal
