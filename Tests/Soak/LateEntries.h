//===- LateEntries.h - Entries that are late, lapse or go -------*- C++ -*-===//
//
// Lets servers write their entries at each heartbeat. The store performs some
// of these writes seconds later, entries lapse while it is away, and servers
// leave without having said so. Independent of the other faults.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "SoakFleet.h"

#include <random>
#include <string>
#include <vector>

namespace figlift::soak {

class LateEntries {
public:
  LateEntries(SoakFleet &Fleet, InvariantChecker &Checker, uint64_t Seed)
      : m_Fleet(Fleet), m_Checker(Checker), m_Random(Seed) {}

  /// Called about every 50 ms. Begins only if \p AllowNew is set.
  void tick(BootTime Now, bool AllowNew);
  bool calm() const {
    return m_LateWrites.empty() && m_Withdrawn.empty() &&
           m_Phase == Phase::Calm;
  }
  const std::vector<std::string> &history() const { return m_History; }

private:
  /// Of the store.
  enum class Phase { Calm, Away, Lapsed, Back };
  struct LateWrite {
    BootTime Due{};
    std::string Id;
    std::string Entry;
  };
  /// A server that still serves, though its entry was removed.
  struct Withdrawal {
    unsigned Server = 0;
    std::string Id;
    BootTime Until{};
  };
  struct Expiry {
    std::string Id;
    BootTime At{};
  };

  void beat(BootTime Now, bool AllowLate);
  void performLateWrites(BootTime Now);
  void expire(BootTime Now);
  void withdraw(BootTime Now);
  /// The server with the most writes that will be late.
  unsigned mostDelayed() const;
  void endWithdrawals(BootTime Now);
  void advanceOutage(BootTime Now, bool AllowNew);
  bool isLapsed(unsigned Server) const;
  /// Others may all have been drained or removed.
  bool isAnyPlainReady() const;
  unsigned draw(unsigned Minimum, unsigned Maximum);

  SoakFleet &m_Fleet;
  InvariantChecker &m_Checker;
  std::mt19937_64 m_Random;
  std::vector<LateWrite> m_LateWrites;
  std::vector<Expiry> m_Expiries;
  std::vector<Withdrawal> m_Withdrawn;
  /// Servers whose entries lapse in the present outage.
  std::vector<unsigned> m_Lapsing;
  /// Since then, gateways are expected to use the plain servers.
  bool m_HasLapsed = false;
  Phase m_Phase = Phase::Calm;
  /// When the next phase begins.
  BootTime m_NextPhase{};
  BootTime m_NextBeat{};
  /// Whether writes are late now, and until when.
  bool m_IsDelaying = false;
  std::chrono::milliseconds m_Lateness{0};
  BootTime m_NextSpell{};
  /// When a write was delayed last.
  BootTime m_DelayedAt{};
  BootTime m_NextWithdrawal{};
  std::vector<std::string> m_History;
};

} // namespace figlift::soak
