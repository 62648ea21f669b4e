//===- LeaseWorld.h - Two candidates, one row, one agent --------*- C++ -*-===//
//
// Bounded world for the exploration of LeaseMachine. A pause of a candidate is
// any interleaving in which its next step comes late: answers, ticks and the
// sending of an order that was decided on may all be overtaken by time and by
// the other candidate.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Exploration/Explorer.h"
#include "LibLease/LeaseMachine.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace figlift::test {

/// How the agent judges an order's epoch.
enum class AgentCheck {
  None,
  /// Refuses epochs below the highest it has seen.
  HighestSeen,
  /// Commits the order on condition of the lease row (LibOrder).
  LeaseRow,
};

struct LeaseBounds {
  int LastTime = 4;
  int LostAnswers = 0;
  int StoreFailures = 0;
  int Stops = 0;
  int OrdersEach = 1;
  /// Times that the store comes back from a copy of any moment before.
  int Returns = 0;
  /// Answers say of which era they are.
  bool TellsEra = true;
  AgentCheck Check = AgentCheck::LeaseRow;
  std::chrono::milliseconds Margin{1000};
  std::chrono::milliseconds Duration{3000};
};

class LeaseWorld {
public:
  explicit LeaseWorld(const LeaseBounds &Bounds)
      : m_Bounds(Bounds), m_Sides{Side(options("a", Bounds)),
                                  Side(options("b", Bounds))} {}

  template <typename Sink> void describe(Sink &&Put) const {
    Put(m_Time, m_Row.Version, m_Row.Holder, m_Row.Epoch, m_Lost, m_Failed);
    Put(m_Stops, m_HighestAccepted, m_Late.size(), m_Broken);
    Put(m_Row.Era, m_Returns, m_Copy.has_value());
    if (m_Copy)
      put(*m_Copy, Put);
    for (const Side &One : m_Sides) {
      One.Machine.describe(Put);
      Put(One.Orders, One.Decided.value_or(0));
      Put(One.Call ? One.Call->index() : 9);
      if (One.Answer)
        Put(One.Answer->index());
      if (One.Answer && std::holds_alternative<lease::RowRead>(*One.Answer))
        put(std::get<lease::RowRead>(*One.Answer), Put);
      Put(One.Answer.has_value(), One.AnswerEra, One.KnownEra);
    }
    for (const lease::CommitRow &Commit : m_Late)
      Put(Commit.ExpectedVersion, Commit.Holder, Commit.Epoch);
  }

  std::string violation() const {
    if (!m_Broken.empty())
      return m_Broken;
    if (m_Sides[0].Machine.mayPlan(now(0)) &&
        m_Sides[1].Machine.mayPlan(now(1)))
      return "both candidates may plan at the same time";
    return {};
  }

  template <typename Visit> void successors(Visit &&Do) const {
    auto Try = [&](std::string Label, auto &&Change) {
      LeaseWorld Next = *this;
      if (Change(Next))
        Do("t=" + std::to_string(m_Time) + " " + std::move(Label),
           std::move(Next));
    };
    Try("time passes", [](LeaseWorld &W) {
      return W.m_Time < W.m_Bounds.LastTime && (++W.m_Time, true);
    });
    for (size_t Late = 0; Late != m_Late.size(); ++Late)
      Try("a delayed commit reaches the table", [&](LeaseWorld &W) {
        lease::CommitRow Commit = W.m_Late[Late];
        eraseAt(W.m_Late, Late);
        W.apply(Commit);
        return true;
      });
    if (m_Returns < m_Bounds.Returns)
      returnSteps(Try);
    for (size_t I = 0; I != 2; ++I)
      sideSteps(I, Try);
  }

  const lease::LeaseMachine &machine(size_t I) const {
    return m_Sides[I].Machine;
  }

private:
  struct Side {
    explicit Side(lease::LeaseOptions Options) : Machine(std::move(Options)) {}
    lease::LeaseMachine Machine;
    /// The read or commit that is on its way to the table.
    std::optional<lease::Action> Call;
    /// Its answer, on the way back, and the era that it tells.
    std::optional<lease::Event> Answer;
    uint64_t AnswerEra = 0;
    /// Newest era that an answer told.
    uint64_t KnownEra = 0;
    /// Epoch of an order that passed mayPlan() and was not sent yet.
    std::optional<uint64_t> Decided;
    int Orders = 0;
  };

  static lease::LeaseOptions options(std::string Self,
                                     const LeaseBounds &Bounds) {
    return {std::move(Self), Bounds.Duration, Bounds.Margin};
  }

  template <typename Sink>
  static void put(const lease::RowRead &Row, Sink &&Put) {
    Put(Row.Version, Row.Holder, Row.Epoch, Row.Era);
  }

  /// The two clocks have nothing in common but their rate.
  BootTime now(size_t I) const {
    return BootTime(std::chrono::seconds(m_Time + (I == 0 ? 100 : 5000)));
  }

  bool apply(const lease::CommitRow &Commit) {
    if (Commit.ExpectedVersion != m_Row.Version)
      return false;
    m_Row = {m_Row.Version + 1, Commit.Holder, Commit.Epoch, Commit.Duration,
             m_Row.Era};
    return true;
  }

  void feed(size_t I, const lease::Event &What) {
    for (lease::Action &Action : m_Sides[I].Machine.step(What, now(I)))
      if (std::holds_alternative<lease::ReadRow>(Action) ||
          std::holds_alternative<lease::CommitRow>(Action)) {
        if (m_Sides[I].Call || m_Sides[I].Answer)
          m_Broken = "two store calls at once";
        m_Sides[I].Call = std::move(Action);
      }
  }

  lease::Event answer(const lease::Action &Call) {
    if (std::holds_alternative<lease::ReadRow>(Call)) {
      lease::RowRead Told = m_Row;
      if (!m_Bounds.TellsEra)
        Told.Era = 0;
      return Told;
    }
    if (apply(std::get<lease::CommitRow>(Call)))
      return lease::CommitSucceeded{};
    return lease::CommitConflicted{};
  }

  void accept(uint64_t Epoch) {
    bool Authorised = !m_Row.Holder.empty() && Epoch == m_Row.Epoch;
    if (m_Bounds.Check == AgentCheck::LeaseRow && !Authorised)
      return;
    if (m_Bounds.Check == AgentCheck::HighestSeen && Epoch < m_HighestAccepted)
      return;
    if (Epoch < m_HighestAccepted)
      m_Broken = "orders accepted out of epoch order";
    else if (m_Bounds.Returns == 0 && Epoch < m_Row.Epoch)
      m_Broken = "an order took effect after the lease of its epoch had "
                 "ended";
    m_HighestAccepted = std::max(m_HighestAccepted, Epoch);
  }

  template <typename TryStep> void returnSteps(TryStep &&Try) const {
    if (!m_Copy)
      return Try("a copy is made", [](LeaseWorld &W) {
        W.m_Copy = W.m_Row;
        return true;
      });
    Try("the store comes back from the copy", [](LeaseWorld &W) {
      const uint64_t Era = W.m_Row.Era + 1;
      W.m_Row = *W.m_Copy;
      W.m_Row.Era = Era;
      ++W.m_Returns;
      return true;
    });
  }

  /// As the store's client does: the first answer of an era tells of it, and
  /// what is of an era that is over says nothing.
  void getAnswer(size_t I) {
    Side &One = m_Sides[I];
    lease::Event Answer = *std::exchange(One.Answer, std::nullopt);
    if (One.AnswerEra < One.KnownEra) {
      if (std::holds_alternative<lease::RowRead>(Answer))
        Answer = lease::ReadFailed{};
      else
        Answer = lease::CommitOutcomeUnknown{};
    }
    const bool IsFirst =
        One.AnswerEra >
        std::exchange(One.KnownEra, std::max(One.KnownEra, One.AnswerEra));
    if (IsFirst)
      feed(I, lease::StoreCameBack{One.AnswerEra});
    feed(I, Answer);
  }

  template <typename TryStep> void sideSteps(size_t I, TryStep &&Try) const {
    const std::string Name = I == 0 ? "a: " : "b: ";
    const Side &One = m_Sides[I];
    Try(Name + "tick", [&](LeaseWorld &W) {
      W.feed(I, lease::Tick{});
      return true;
    });
    if (One.Call) {
      Try(Name + "the table carries out the call", [&](LeaseWorld &W) {
        W.m_Sides[I].Answer = W.answer(*One.Call);
        W.m_Sides[I].AnswerEra = m_Bounds.TellsEra ? W.m_Row.Era : 0;
        W.m_Sides[I].Call.reset();
        return true;
      });
      bool Commit = std::holds_alternative<lease::CommitRow>(*One.Call);
      if (m_Failed < m_Bounds.StoreFailures)
        Try(Name + "the store is down for the call", [&](LeaseWorld &W) {
          ++W.m_Failed;
          W.m_Sides[I].Call.reset();
          if (Commit)
            W.m_Sides[I].Answer.emplace(lease::StoreFailed{});
          else
            W.m_Sides[I].Answer.emplace(lease::ReadFailed{});
          return true;
        });
      // Whether it takes effect is decided by the step that delivers it late.
      if (Commit && m_Lost < m_Bounds.LostAnswers)
        Try(Name + "the commit is delayed and its answer lost",
            [&](LeaseWorld &W) {
              ++W.m_Lost;
              W.m_Late.push_back(std::get<lease::CommitRow>(*One.Call));
              W.m_Sides[I].Call.reset();
              W.m_Sides[I].Answer = lease::CommitOutcomeUnknown{};
              return true;
            });
    }
    if (One.Answer)
      Try(Name + "gets the answer", [&](LeaseWorld &W) {
        W.getAnswer(I);
        return true;
      });
    if (m_Stops < m_Bounds.Stops && I == 0)
      Try(Name + "stop requested", [&](LeaseWorld &W) {
        ++W.m_Stops;
        W.feed(I, lease::StopRequested{});
        return true;
      });
    if (auto Epoch = One.Machine.epoch(now(I));
        Epoch && !One.Decided && One.Orders < m_Bounds.OrdersEach)
      Try(Name + "decides on an order", [&](LeaseWorld &W) {
        W.m_Sides[I].Decided = Epoch;
        ++W.m_Sides[I].Orders;
        return true;
      });
    if (One.Decided)
      Try(Name + "its order reaches the agent", [&](LeaseWorld &W) {
        W.m_Sides[I].Decided.reset();
        W.accept(*One.Decided);
        return true;
      });
  }

  LeaseBounds m_Bounds;
  int m_Time = 0;
  lease::RowRead m_Row{0, "", 0, {}, 1};
  std::optional<lease::RowRead> m_Copy;
  int m_Returns = 0;
  std::array<Side, 2> m_Sides;
  std::vector<lease::CommitRow> m_Late;
  int m_Lost = 0;
  int m_Failed = 0;
  int m_Stops = 0;
  uint64_t m_HighestAccepted = 0;
  std::string m_Broken;
};

} // namespace figlift::test
