//===- Disturber.h - Seeded faults, one after and over another --*- C++ -*-===//
//
// Draws faults from a seed, lets several overlap, mends each after its time,
// and tells the book of promises for how long what is out of order. Every third
// seed has planned work alone: beside faults little of it can be judged.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "SoakFleet.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace figlift::soak {

/// Every fourth seed has servers that name limits, and requests that crash
/// whoever runs them; none of those that have planned work alone.
inline bool hasServersInNeed(uint64_t Seed) {
  return Seed % 4 == 3 && Seed % 3 != 0;
}

class Disturber {
public:
  Disturber(SoakFleet &Fleet, PromiseBook &Book, uint64_t Seed)
      : m_Fleet(Fleet), m_Book(Book), m_PlannedOnly(Seed % 3 == 0),
        m_HasServersInNeed(hasServersInNeed(Seed)), m_Random(Seed),
        m_CopyRandom(Seed), m_LimitRandom(Seed) {}

  /// Called about every 50 ms. Begins new faults only if \p May.
  void tick(BootTime Now, bool May);
  bool calm() const { return m_Open.empty(); }
  /// What was done, in order, for the log of a run.
  const std::vector<std::string> &history() const { return m_History; }

private:
  struct Open {
    std::string Name;
    /// Whom it disturbs while it lasts.
    std::string Whom;
    BootTime Until{};
    std::function<void()> Mend;
  };

  void begin(BootTime Now);
  void beginPlanned(BootTime Now);
  void roll();
  void sendSignal(unsigned Which, Signal What);
  void configure();
  void beginSignal(BootTime Now);
  void beginLink(BootTime Now);
  void beginStore(BootTime Now);
  void beginServer(BootTime Now);
  void beginLeaving(BootTime Now);
  void open(const std::string &Name, const std::string &Whom, BootTime Until,
            std::function<void()> Mend);
  unsigned draw(unsigned From, unsigned To);
  BootTime later(BootTime Now, unsigned From, unsigned To);
  bool isOpen(const std::string &Name) const;

  SoakFleet &m_Fleet;
  PromiseBook &m_Book;
  const bool m_PlannedOnly;
  const bool m_HasServersInNeed;
  std::mt19937_64 m_Random;
  /// Apart, so that seeds of old go on drawing what they drew.
  std::mt19937_64 m_CopyRandom;
  /// Likewise of servers that name a limit.
  std::mt19937_64 m_LimitRandom;
  std::vector<Open> m_Open;
  std::vector<std::string> m_History;
  BootTime m_Next{};
};

} // namespace figlift::soak
