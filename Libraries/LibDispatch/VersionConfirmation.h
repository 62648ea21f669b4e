//===- VersionConfirmation.h - Servers that may have restarted --*- C++ -*-===//
//
// A server that restarts under its id may run another software version, while
// the list of servers shows the entry of its earlier start until the new one is
// written and read. An address that refuses a connection is a sign that the
// process has ended: the version of that start is then unconfirmed.
//
// It is confirmed again by an entry of the same start that was written after
// the sign, which only a process that still runs can do. When an entry was
// written is not known, so the heartbeat has to be higher than that of all
// entries that a read sent after the sign has returned. An entry of another
// start needs no confirmation. Changes that peers announce have no heartbeats
// and confirm nothing.
//
// A write of the ended process that the store receives only after that read
// confirms wrongly. Servers that report no start cannot be told apart and stay
// confirmed. The class reads no clock.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/Target.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>

namespace figlift::dispatch {

class VersionConfirmation {
public:
  enum class Read {
    /// Returned the current entries. They may have been written at any time.
    Full,
    /// Returned the entries that were written since the previous read.
    Changes,
  };

  /// The address of the server refused a connection. Returns whether the
  /// version was confirmed before.
  bool recordRefusal(const ServerStart &Server, BootTime Now);
  /// A read returned this entry; to be called before recordRead(). Returns for
  /// how long the version was unconfirmed if the entry confirms it.
  std::optional<BootClock::duration> recordEntry(const Target &Entry, Read Kind,
                                                 BootTime Now);
  /// A read whose answer holds all that was written before \p KnownAt.
  void recordRead(Read Kind, BootTime KnownAt);
  /// Removes starts that have not been listed within the retention period.
  /// \p IsListed returns whether a start is listed.
  template <typename Predicate> void expire(Predicate IsListed, BootTime Now) {
    for (auto &[Server, Refused] : m_Unconfirmed)
      if (IsListed(Server))
        Refused.ListedAt = Now;
    std::erase_if(m_Unconfirmed, [&](const auto &Unconfirmed) {
      return Now - Unconfirmed.second.ListedAt > Retention;
    });
  }

  bool isConfirmed(const ServerStart &Server) const {
    return !m_Unconfirmed.contains(Server);
  }
  bool allConfirmed() const { return m_Unconfirmed.empty(); }
  /// Whether \p Matches any start that is unconfirmed.
  template <typename Predicate> bool anyUnconfirmed(Predicate Matches) const {
    return std::any_of(
        m_Unconfirmed.begin(), m_Unconfirmed.end(),
        [&](const auto &Unconfirmed) { return Matches(Unconfirmed.first); });
  }

private:
  /// A store that is restored from a copy lists removed servers again for about
  /// this time.
  static constexpr std::chrono::seconds Retention{60};

  struct Entry {
    /// The latest refusal.
    BootTime RefusedAt{};
    /// The first refusal since the version was confirmed.
    BootTime UnconfirmedSince{};
    /// When the start was listed last.
    BootTime ListedAt{};
    /// Highest heartbeat that was returned since.
    uint64_t Heartbeat = 0;
    /// \name Reads that were sent after the latest refusal.
    /// @{
    bool HasRead = false;
    bool HasFullRead = false;
    /// @}
  };

  std::map<ServerStart, Entry> m_Unconfirmed;
};

} // namespace figlift::dispatch
