//===- ServerJournal.h - Changes of the list of servers, in order -*- C++
//-*-===//
//
// Keeps the last changes that this process read or was told, by versions of
// the store, so that it can tell its peers all of a span of versions. A span
// is told only as far as it is known without a gap: a peer that took one with
// a gap would send work to a server that has left, and nothing would ever
// correct it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/StoreNews.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <variant>
#include <vector>

namespace figlift::dispatch {

/// \name What news of a peer mean here.
/// @{
/// This process knows as much, or more.
struct NothingNew {};
/// Something between what is known and what was told is missing.
struct MissingPart {};
struct NewChanges {
  std::vector<ServerChange> Changes;
};
/// @}
using NewsVerdict = std::variant<NothingNew, MissingPart, NewChanges>;

class ServerJournal {
public:
  /// The whole list was read as of \p Version, asked for at \p AskedAt; what
  /// changed since the version before is not known in order.
  void wholeRead(StoreVersion Version, BootTime AskedAt);
  /// All changes from the known version up to \p Version were read. In another
  /// era nothing goes on from what was known: it counts as a whole list.
  void changesRead(StoreVersion Version, BootTime AskedAt,
                   std::vector<ServerChange> Changes);
  /// Takes what a peer tells, if it goes on from what is known.
  NewsVerdict heard(const ServerNews &News, BootTime Now);

  /// What is known, for peers.
  ServerNews news(BootTime Now) const;
  StoreVersion version() const { return m_Version; }
  /// What the store says later than this is not known.
  BootTime knownAt() const { return m_KnownAt; }

private:
  /// Peers that were told nothing for longer read for themselves.
  static constexpr std::chrono::milliseconds KeepTime{3000};
  /// So that news fit into one datagram, at some 150 bytes a change.
  static constexpr size_t MaximumChanges = 200;

  struct Mark {
    BootTime At{};
    StoreVersion Version;
  };

  void advance(StoreVersion Version, BootTime KnownAt);
  void forgetOld(BootTime Now);

  StoreVersion m_Version;
  BootTime m_KnownAt{};
  /// m_Changes has all changes after this version, up to m_Version, and of its
  /// era.
  StoreVersion m_After;
  /// By version, oldest first.
  std::deque<ServerChange> m_Changes;
  /// Versions that were reached, oldest first.
  std::deque<Mark> m_Marks;
};

} // namespace figlift::dispatch
