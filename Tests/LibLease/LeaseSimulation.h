//===- LeaseSimulation.h - Two candidates, one row, one agent ---*- C++ -*-===//
//
// Bounded simulation for the exploration of LeaseMachine. A pause of a
// candidate is any interleaving in which its next step is late: answers, ticks
// and the sending of an order may all be overtaken by time and by the other
// candidate.
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

/// How the agent checks the epoch of an order.
enum class AgentCheck {
  None,
  /// Rejects epochs below the highest one seen.
  HighestSeen,
  /// Commits the order on condition that the lease row is unchanged (LibOrder).
  LeaseRow,
};

struct LeaseBounds {
  int LastTime = 4;
  int LostAnswers = 0;
  int StoreFailures = 0;
  int Stops = 0;
  int OrdersPerCandidate = 1;
  /// Number of times that the store is restored from a copy of any earlier
  /// moment.
  int MaximumRestores = 0;
  /// Answers include their era.
  bool ReportsEra = true;
  AgentCheck Check = AgentCheck::LeaseRow;
  std::chrono::milliseconds Margin{1000};
  std::chrono::milliseconds Duration{3000};
};

class LeaseSimulation {
public:
  explicit LeaseSimulation(const LeaseBounds &Bounds)
      : m_Bounds(Bounds), m_Candidates{Candidate(options("a", Bounds)),
                                       Candidate(options("b", Bounds))} {}

  template <typename Sink> void describe(Sink &&Put) const {
    Put(m_Time, m_Row.Version, m_Row.Holder, m_Row.Epoch, m_LostAnswers,
        m_StoreFailures);
    Put(m_Stops, m_HighestAccepted, m_DelayedCommits.size(), m_Violation);
    Put(m_Row.Era, m_Restores, m_Copy.has_value());
    if (m_Copy)
      put(*m_Copy, Put);
    for (const Candidate &Self : m_Candidates) {
      Self.Machine.describe(Put);
      Put(Self.Orders, Self.Decided.value_or(0));
      Put(Self.Call ? Self.Call->index() : 9);
      if (Self.Answer)
        Put(Self.Answer->index());
      if (Self.Answer && std::holds_alternative<lease::RowRead>(*Self.Answer))
        put(std::get<lease::RowRead>(*Self.Answer), Put);
      Put(Self.Answer.has_value(), Self.AnswerEra, Self.KnownEra);
    }
    for (const lease::CommitRow &Commit : m_DelayedCommits)
      Put(Commit.ExpectedVersion, Commit.Holder, Commit.Epoch);
  }

  std::string violation() const {
    if (!m_Violation.empty())
      return m_Violation;
    if (m_Candidates[0].Machine.mayPlan(now(0)) &&
        m_Candidates[1].Machine.mayPlan(now(1)))
      return "both candidates may plan at the same time";
    return {};
  }

  template <typename Visit> void successors(Visit &&Report) const {
    auto Try = [&](std::string Label, auto &&Change) {
      LeaseSimulation Next = *this;
      if (Change(Next))
        Report("t=" + std::to_string(m_Time) + " " + std::move(Label),
               std::move(Next));
    };
    Try("time passes", [](LeaseSimulation &Next) {
      return Next.m_Time < Next.m_Bounds.LastTime && (++Next.m_Time, true);
    });
    for (size_t Index = 0; Index != m_DelayedCommits.size(); ++Index)
      Try("a delayed commit reaches the table", [&](LeaseSimulation &Next) {
        lease::CommitRow Commit = Next.m_DelayedCommits[Index];
        eraseAt(Next.m_DelayedCommits, Index);
        Next.apply(Commit);
        return true;
      });
    if (m_Restores < m_Bounds.MaximumRestores)
      restoreSteps(Try);
    for (size_t I = 0; I != 2; ++I)
      candidateSteps(I, Try);
  }

  const lease::LeaseMachine &machine(size_t I) const {
    return m_Candidates[I].Machine;
  }

private:
  struct Candidate {
    explicit Candidate(lease::LeaseOptions Options)
        : Machine(std::move(Options)) {}
    lease::LeaseMachine Machine;
    /// The read or commit that has not reached the table yet.
    std::optional<lease::Action> Call;
    /// The answer that has not reached the candidate yet, and its era.
    std::optional<lease::Event> Answer;
    uint64_t AnswerEra = 0;
    /// The newest era in an answer.
    uint64_t KnownEra = 0;
    /// Epoch of an order that passed mayPlan() and has not been sent yet.
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

  /// The two clocks have only their rate in common.
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

  void feed(size_t I, const lease::Event &Input) {
    for (lease::Action &Action : m_Candidates[I].Machine.step(Input, now(I)))
      if (std::holds_alternative<lease::ReadRow>(Action) ||
          std::holds_alternative<lease::CommitRow>(Action)) {
        if (m_Candidates[I].Call || m_Candidates[I].Answer)
          m_Violation = "two store calls at once";
        m_Candidates[I].Call = std::move(Action);
      }
  }

  lease::Event answer(const lease::Action &Call) {
    if (std::holds_alternative<lease::ReadRow>(Call)) {
      lease::RowRead Answer = m_Row;
      if (!m_Bounds.ReportsEra)
        Answer.Era = 0;
      return Answer;
    }
    if (apply(std::get<lease::CommitRow>(Call)))
      return lease::CommitSucceeded{};
    return lease::CommitConflicted{};
  }

  void accept(uint64_t Epoch) {
    bool IsAuthorized = !m_Row.Holder.empty() && Epoch == m_Row.Epoch;
    if (m_Bounds.Check == AgentCheck::LeaseRow && !IsAuthorized)
      return;
    if (m_Bounds.Check == AgentCheck::HighestSeen && Epoch < m_HighestAccepted)
      return;
    if (Epoch < m_HighestAccepted)
      m_Violation = "orders accepted out of epoch order";
    else if (m_Bounds.MaximumRestores == 0 && Epoch < m_Row.Epoch)
      m_Violation = "an order took effect after the lease of its epoch had "
                    "ended";
    m_HighestAccepted = std::max(m_HighestAccepted, Epoch);
  }

  template <typename TryStep> void restoreSteps(TryStep &&Try) const {
    if (!m_Copy)
      return Try("a copy is made", [](LeaseSimulation &Next) {
        Next.m_Copy = Next.m_Row;
        return true;
      });
    Try("the store comes back from the copy", [](LeaseSimulation &Next) {
      const uint64_t Era = Next.m_Row.Era + 1;
      Next.m_Row = *Next.m_Copy;
      Next.m_Row.Era = Era;
      ++Next.m_Restores;
      return true;
    });
  }

  /// Like the client of the store, reports a new era with the first answer of
  /// it, and ignores the content of answers of an earlier era.
  void getAnswer(size_t I) {
    Candidate &Self = m_Candidates[I];
    lease::Event Answer = *std::exchange(Self.Answer, std::nullopt);
    if (Self.AnswerEra < Self.KnownEra) {
      if (std::holds_alternative<lease::RowRead>(Answer))
        Answer = lease::ReadFailed{};
      else
        Answer = lease::CommitOutcomeUnknown{};
    }
    const bool IsFirst =
        Self.AnswerEra >
        std::exchange(Self.KnownEra, std::max(Self.KnownEra, Self.AnswerEra));
    if (IsFirst)
      feed(I, lease::StoreRestored{Self.AnswerEra});
    feed(I, Answer);
  }

  template <typename TryStep>
  void candidateSteps(size_t I, TryStep &&Try) const {
    const std::string Name = I == 0 ? "a: " : "b: ";
    const Candidate &Self = m_Candidates[I];
    Try(Name + "tick", [&](LeaseSimulation &Next) {
      Next.feed(I, lease::Tick{});
      return true;
    });
    if (Self.Call) {
      Try(Name + "the table carries out the call", [&](LeaseSimulation &Next) {
        Next.m_Candidates[I].Answer = Next.answer(*Self.Call);
        Next.m_Candidates[I].AnswerEra =
            m_Bounds.ReportsEra ? Next.m_Row.Era : 0;
        Next.m_Candidates[I].Call.reset();
        return true;
      });
      bool Commit = std::holds_alternative<lease::CommitRow>(*Self.Call);
      if (m_StoreFailures < m_Bounds.StoreFailures)
        Try(Name + "the store is down for the call",
            [&](LeaseSimulation &Next) {
              ++Next.m_StoreFailures;
              Next.m_Candidates[I].Call.reset();
              if (Commit)
                Next.m_Candidates[I].Answer.emplace(lease::StoreFailed{});
              else
                Next.m_Candidates[I].Answer.emplace(lease::ReadFailed{});
              return true;
            });
      // The step that delivers it late decides whether it takes effect.
      if (Commit && m_LostAnswers < m_Bounds.LostAnswers)
        Try(Name + "the commit is delayed and its answer lost",
            [&](LeaseSimulation &Next) {
              ++Next.m_LostAnswers;
              Next.m_DelayedCommits.push_back(
                  std::get<lease::CommitRow>(*Self.Call));
              Next.m_Candidates[I].Call.reset();
              Next.m_Candidates[I].Answer = lease::CommitOutcomeUnknown{};
              return true;
            });
    }
    if (Self.Answer)
      Try(Name + "gets the answer", [&](LeaseSimulation &Next) {
        Next.getAnswer(I);
        return true;
      });
    if (m_Stops < m_Bounds.Stops && I == 0)
      Try(Name + "stop requested", [&](LeaseSimulation &Next) {
        ++Next.m_Stops;
        Next.feed(I, lease::StopRequested{});
        return true;
      });
    if (auto Epoch = Self.Machine.epoch(now(I));
        Epoch && !Self.Decided && Self.Orders < m_Bounds.OrdersPerCandidate)
      Try(Name + "decides on an order", [&](LeaseSimulation &Next) {
        Next.m_Candidates[I].Decided = Epoch;
        ++Next.m_Candidates[I].Orders;
        return true;
      });
    if (Self.Decided)
      Try(Name + "its order reaches the agent", [&](LeaseSimulation &Next) {
        Next.m_Candidates[I].Decided.reset();
        Next.accept(*Self.Decided);
        return true;
      });
  }

  LeaseBounds m_Bounds;
  int m_Time = 0;
  lease::RowRead m_Row{0, "", 0, {}, 1};
  std::optional<lease::RowRead> m_Copy;
  int m_Restores = 0;
  std::array<Candidate, 2> m_Candidates;
  std::vector<lease::CommitRow> m_DelayedCommits;
  int m_LostAnswers = 0;
  int m_StoreFailures = 0;
  int m_Stops = 0;
  uint64_t m_HighestAccepted = 0;
  std::string m_Violation;
};

} // namespace figlift::test
