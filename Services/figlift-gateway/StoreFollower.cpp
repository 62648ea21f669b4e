//===- StoreFollower.cpp - Follows one table of the store -----------------===//
//
// A loop of full reads and watches; one call at a time.
//
//===----------------------------------------------------------------------===//

#include "StoreFollower.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"

namespace figlift::gateway {

StoreFollower::StoreFollower(boost::asio::io_context &Loop,
                             slopes::StoreClient &Store, std::string Table,
                             Listener Listener, FollowerOptions Options,
                             std::function<double()> Draw)
    : m_Timer(Loop), m_Store(Store), m_Table(std::move(Table)),
      m_Listener(std::move(Listener)), m_Options(Options),
      m_Draw(std::move(Draw)) {}

void StoreFollower::next() {
  const BootTime Now = BootClock::now();
  if (const BootTime Due = m_Listener.Due(m_WasUnchanged);
      Due > Now && !m_ReadImmediately)
    return wait(Due - Now);
  m_ReadImmediately = false;
  if (Now >= m_NextFullRead || m_Version.Era != m_Store.era())
    readTable();
  else
    watch();
}

void StoreFollower::nextOrRetry() {
  if (!log::guarded("read of a table", m_Table, [this] { next(); }))
    handleFailure({ResultCode::Internal,
                   "the read could not be started",
                   {},
                   std::nullopt});
}

void StoreFollower::wait(BootClock::duration For) {
  m_Waiting = true;
  m_Timer.expires_after(For);
  m_Timer.async_wait([this](const boost::system::error_code &Stopped) {
    if (Stopped)
      return;
    m_Waiting = false;
    nextOrRetry();
  });
}

void StoreFollower::readNow() {
  // A read in progress, or one that follows a retry delay, returns the change
  // as well.
  if (!m_Waiting)
    return;
  m_ReadImmediately = true;
  wait(BootClock::duration::zero());
}

void StoreFollower::readAllNow() {
  if (m_Waiting)
    m_NextFullRead = {};
  readNow();
}

void StoreFollower::resync() {
  m_NextFullRead = {};
  m_ReadImmediately = true;
  readNow();
}

void StoreFollower::readTable() {
  const BootTime SentAt = BootClock::now();
  const auto OnResponse = [this, SentAt](Result<slopes::RowsRead> Read) {
    if (!Read)
      return handleFailure(Read.error());
    recordSuccess();
    m_Version = std::max(m_Version, Read.value().Version);
    const double Jitter = 0.75 + 0.5 * m_Draw();
    m_NextFullRead =
        BootClock::now() + std::chrono::duration_cast<BootClock::duration>(
                               m_Options.FullReadInterval * Jitter);
    m_WasUnchanged = true;
    m_Listener.FullRead(Read.value(), SentAt);
    next();
  };
  m_Store.readAll(m_Table, "", OnResponse, m_Failures);
}

void StoreFollower::watch() {
  const BootTime SentAt = BootClock::now();
  m_Store.watch(
      m_Table, m_Version, m_Options.WatchTime,
      [this, SentAt](Result<slopes::RowsRead> Read) {
        if (!Read && Read.error().Code == ResultCode::StoreConflict) {
          log::logEvent(log::Level::Info, "store-history-lost",
                        {{"table", m_Table}});
          return readTable();
        }
        if (!Read)
          return handleFailure(Read.error());
        recordSuccess();
        m_Version = std::max(m_Version, Read.value().Version);
        // When there is no change, the store waits before it responds.
        m_WasUnchanged = Read.value().Rows.empty() &&
                         BootClock::now() - SentAt >= m_Options.WatchTime;
        m_Listener.Changes(Read.value(), m_WasUnchanged
                                             ? SentAt + m_Options.WatchTime
                                             : SentAt);
        next();
      },
      m_Failures);
}

void StoreFollower::recordSuccess() {
  m_Failures = 0;
  if (!std::exchange(m_Connected, true))
    log::logEvent(log::Level::Info, "store-reached", {{"table", m_Table}});
}

void StoreFollower::handleFailure(const Error &Reason) {
  // Whatever happens here, the table is read again.
  log::guarded("failed read of a table", m_Table, [&] {
    if (std::exchange(m_Connected, false))
      log::logEvent(log::Level::Warning, "store-lost",
                    {{"table", m_Table}, {"message", Reason.Message}});
  });
  log::guarded("failed read of a table", m_Table,
               [this] { m_Listener.ConnectionLost(); });
  m_NextFullRead = {};
  constexpr unsigned MaximumDoublings = 10;
  const auto Delay = std::min(
      m_Options.RetryDelay * (1U << std::min(m_Failures++, MaximumDoublings)),
      m_Options.MaximumRetryDelay);
  m_Timer.expires_after(
      std::chrono::duration_cast<BootClock::duration>(Delay * (1 + m_Draw())));
  m_Timer.async_wait([this](const boost::system::error_code &Stopped) {
    if (!Stopped)
      nextOrRetry();
  });
}

} // namespace figlift::gateway
