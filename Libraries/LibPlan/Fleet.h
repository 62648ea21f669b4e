//===- Fleet.h - Trusted view of a shard's engines --------------*- C++ -*-===//
//
// Combines the agents' reports with the orders under way, and answers what may
// be taken away without leaving some kind of work unserved. Old reports, and
// reports from before an order ended, are not trusted: such an engine counts
// as absent and gets no order.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/FluidModel.h"
#include "LibPlan/PlanTypes.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace figlift::plan {

struct FleetSettings {
  std::chrono::milliseconds MaximumReportAge{5000};
  /// An order whose end nobody reported is given up after this long; the
  /// engine's next report then says what it is.
  std::chrono::milliseconds OrderTimeout{180000};
};

/// Orders that this planner gave and that have not ended.
class OrdersUnderWay {
public:
  void given(const GiveOrder &Order, BootTime Now);
  /// Returns the change that ended, if it was known.
  std::optional<Change> ended(const std::string &Target, BootTime Now);
  /// Drops orders to engines that are gone, and orders past the timeout.
  void expire(const Snapshot &Seen, const FleetSettings &Settings,
              BootTime Now);
  const Change *find(const std::string &Target) const;
  size_t size() const { return m_Orders.size(); }
  /// How long the last role changes took.
  std::chrono::milliseconds roleChangeDuration() const { return m_RoleChange; }
  /// Whether \p Target's report is from after its last order's end.
  bool reportedSince(const TargetState &Target) const;

private:
  struct Order {
    Change What;
    BootTime GivenAt;
  };
  std::map<std::string, Order> m_Orders;
  std::map<std::string, BootTime> m_EndedAt;
  /// Moving average; starts with a guess.
  std::chrono::milliseconds m_RoleChange{5000};
};

class Fleet {
public:
  Fleet(const Snapshot &Seen, const OrdersUnderWay &Orders,
        const FleetSettings &Settings, BootTime Now);

  /// Engines that serve now and may get an order.
  const std::vector<const TargetState *> &serving() const { return m_Serving; }
  Split split() const;
  /// Engines under change, as they will be once it ends.
  const Split &returning() const { return m_Returning; }
  /// Changes under way, whoever ordered them.
  unsigned changing() const { return m_Changing; }
  /// Engines that serve \p Model in any version, \p Without left out.
  unsigned servingModel(const std::string &Model,
                        const std::string &Without = {}) const;

  /// Whether each kind of work keeps at least the record's minimum, and one,
  /// of engines while \p Target is away; minimums that do not hold now need
  /// only not get worse.
  bool maySpare(const TargetState &Target) const;
  /// maySpare(), and the minimums hold with \p NewRole too.
  bool mayBecome(const TargetState &Target, Role NewRole) const;

private:
  bool keepsMinimums(const Split &Later) const;

  const Snapshot &m_Seen;
  std::vector<const TargetState *> m_Serving;
  Split m_Returning;
  unsigned m_Changing = 0;
};

} // namespace figlift::plan
