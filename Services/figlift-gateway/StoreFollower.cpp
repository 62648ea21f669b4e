//===- StoreFollower.cpp - Keeps up with one table of the store -----------===//
//
// A loop of whole reads and watches; one call at a time.
//
//===----------------------------------------------------------------------===//

#include "StoreFollower.h"

#include "LibLog/Log.h"

namespace figlift::gateway {

StoreFollower::StoreFollower(boost::asio::io_context &Loop,
                             slopes::StoreClient &Store, std::string Table,
                             Listener Told, FollowerOptions Options,
                             std::function<double()> Draw)
    : m_Timer(Loop), m_Store(Store), m_Table(std::move(Table)),
      m_Told(std::move(Told)), m_Options(Options), m_Draw(std::move(Draw)) {}

void StoreFollower::next() {
  const BootTime Now = BootClock::now();
  if (const BootTime Due = m_Told.Due(m_WasQuiet); Due > Now && !m_Hurries)
    return wait(Due - Now);
  m_Hurries = false;
  if (Now >= m_NextWhole || m_Version.Era != m_Store.era())
    readWhole();
  else
    watch();
}

void StoreFollower::wait(BootClock::duration For) {
  m_Waits = true;
  m_Timer.expires_after(For);
  m_Timer.async_wait([this](const boost::system::error_code &Stopped) {
    if (Stopped)
      return;
    m_Waits = false;
    next();
  });
}

void StoreFollower::readNow() {
  // What is being read now, or after a pause, brings it as well.
  if (!m_Waits)
    return;
  m_Hurries = true;
  wait(BootClock::duration::zero());
}

void StoreFollower::readWholeNow() {
  if (m_Waits)
    m_NextWhole = {};
  readNow();
}

void StoreFollower::distrust() {
  m_NextWhole = {};
  m_Hurries = true;
  readNow();
}

void StoreFollower::readWhole() {
  const BootTime AskedAt = BootClock::now();
  const auto Answered = [this, AskedAt](Result<slopes::RowsRead> Read) {
    if (!Read)
      return failed(Read.error());
    answered();
    m_Version = std::max(m_Version, Read.value().Version);
    const double Spread = 0.75 + 0.5 * m_Draw();
    m_NextWhole =
        BootClock::now() + std::chrono::duration_cast<BootClock::duration>(
                               m_Options.WholeReadInterval * Spread);
    m_WasQuiet = true;
    m_Told.Whole(Read.value(), AskedAt);
    next();
  };
  m_Store.readAll(m_Table, "", Answered, m_Failures);
}

void StoreFollower::watch() {
  const BootTime AskedAt = BootClock::now();
  m_Store.watch(
      m_Table, m_Version, m_Options.WatchTime,
      [this, AskedAt](Result<slopes::RowsRead> Read) {
        if (!Read && Read.error().Code == ResultCode::StoreConflict) {
          log::logEvent(log::Level::Info, "store-history-lost",
                        {{"table", m_Table}});
          return readWhole();
        }
        if (!Read)
          return failed(Read.error());
        answered();
        m_Version = std::max(m_Version, Read.value().Version);
        // Without a change the store has waited before it answered.
        m_WasQuiet = Read.value().Rows.empty() &&
                     BootClock::now() - AskedAt >= m_Options.WatchTime;
        m_Told.Changes(Read.value(),
                       m_WasQuiet ? AskedAt + m_Options.WatchTime : AskedAt);
        next();
      },
      m_Failures);
}

void StoreFollower::answered() {
  m_Failures = 0;
  if (!std::exchange(m_Connected, true))
    log::logEvent(log::Level::Info, "store-reached", {{"table", m_Table}});
}

void StoreFollower::failed(const Error &Reason) {
  if (std::exchange(m_Connected, false))
    log::logEvent(log::Level::Warning, "store-lost",
                  {{"table", m_Table}, {"message", Reason.Message}});
  m_Told.Lost();
  m_NextWhole = {};
  constexpr unsigned MaximumDoublings = 10;
  const auto Delay = std::min(
      m_Options.RetryDelay * (1U << std::min(m_Failures++, MaximumDoublings)),
      m_Options.MaximumRetryDelay);
  m_Timer.expires_after(
      std::chrono::duration_cast<BootClock::duration>(Delay * (1 + m_Draw())));
  m_Timer.async_wait([this](const boost::system::error_code &Stopped) {
    if (!Stopped)
      next();
  });
}

} // namespace figlift::gateway
