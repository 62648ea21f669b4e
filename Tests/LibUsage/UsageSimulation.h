//===- UsageSimulation.h - Two holders, one store, one receiver -*- C++ -*-===//
//
// Bounded simulation for the exploration of UsageDuty with LeaseMachine. Both
// gateways have counted differently, as after lost messages. A pause of a
// gateway is any interleaving in which its next step is late. A holder may be
// killed; calls in transit still arrive.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Exploration/Explorer.h"
#include "LibLease/LeaseMachine.h"
#include "LibUsage/UsageDuty.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace figlift::test {

struct UsageBounds {
  /// In seconds; the window ends at 0.
  int LastTime = 5;
  int LostAnswers = 0;
  int Kills = 0;
  /// The duty sends only what the store has recorded.
  bool Records = true;
};

class UsageSimulation {
public:
  explicit UsageSimulation(const UsageBounds &Bounds)
      : m_Bounds(Bounds), m_Gateways{Gateway("a"), Gateway("b")} {}

  template <typename Sink> void describe(Sink &&Put) const {
    Put(m_Time, m_Lost, m_Kills, m_Violation, m_Lease.Version, m_Lease.Holder);
    Put(m_Lease.Epoch, m_HighestEpoch, m_Accepted.size());
    for (const auto &[Window, Requests] : m_Accepted)
      put(Window, Requests, Put);
    for (const usage::RecordRow &Row : m_Rows)
      put(Row, Put);
    for (const Gateway &Self : m_Gateways) {
      Self.Lease.describe(Put);
      Self.Duty.describe(Put);
      Put(Self.IsKilled, Self.LeaseCall ? Self.LeaseCall->index() : 9);
      Put(Self.DutyCall ? Self.DutyCall->index() : 9);
      if (Self.DutyCall)
        put(*Self.DutyCall, Put);
    }
  }

  std::string violation() const { return m_Violation; }

  template <typename Visit> void successors(Visit &&Report) const {
    auto Try = [&](std::string Label, auto &&Change) {
      UsageSimulation Next = *this;
      Change(Next);
      Report("t=" + std::to_string(m_Time) + " " + std::move(Label),
             std::move(Next));
    };
    if (m_Time < m_Bounds.LastTime)
      Try("time passes", [](UsageSimulation &Next) { ++Next.m_Time; });
    for (size_t I = 0; I != 2; ++I)
      gatewaySteps(I, Try);
  }

private:
  /// Each gateway has its own counts, so that a report that was not taken from
  /// the record of the other one is noticed.
  class OwnCounts : public usage::UsageSource {
  public:
    explicit OwnCounts(uint64_t Count) : m_Count(Count) {}
    bool isComplete(usage::WindowNumber) const override { return true; }
    usage::Counts totals(usage::WindowNumber Window) const override {
      return Window == ReportedWindow ? usage::Counts{{"t", m_Count}}
                                      : usage::Counts{};
    }

  private:
    const uint64_t m_Count;
  };

  struct Gateway {
    explicit Gateway(const std::string &Name)
        : Lease({Name, std::chrono::seconds(3), std::chrono::seconds(1)}),
          Duty({Length, std::chrono::seconds(3)}, sourceOf(Name)) {}
    lease::LeaseMachine Lease;
    usage::UsageDuty Duty;
    std::optional<lease::Action> LeaseCall;
    std::optional<usage::Action> DutyCall;
    bool IsKilled = false;
  };

  static const usage::UsageSource &sourceOf(const std::string &Name) {
    static const OwnCounts First(7);
    static const OwnCounts Second(8);
    return Name == "a" ? static_cast<const usage::UsageSource &>(First)
                       : Second;
  }

  static constexpr usage::WindowNumber ReportedWindow = 1000;
  static constexpr std::chrono::milliseconds Length{5000};

  template <typename Sink>
  static void put(usage::WindowNumber Window, const usage::Counts &Requests,
                  Sink &&Put) {
    Put(Window);
    for (const auto &[Tenant, Count] : Requests)
      Put(Tenant, Count);
  }
  template <typename Sink>
  static void put(const usage::RecordRow &Row, Sink &&Put) {
    Put(Row.Version);
    if (Row.Record)
      put(Row.Record->Window, Row.Record->Requests, Put);
  }
  template <typename Sink>
  static void put(const usage::Action &Call, Sink &&Put) {
    if (const auto *Read = std::get_if<usage::ReadRecord>(&Call))
      Put(Read->Row);
    if (const auto *Write = std::get_if<usage::WriteRecord>(&Call)) {
      Put(Write->ExpectedVersion);
      put(Write->Record.Window, Write->Record.Requests, Put);
    }
    if (const auto *Send = std::get_if<usage::SendReport>(&Call)) {
      Put(Send->Epoch);
      put(Send->Recorded.Window, Send->Recorded.Requests, Put);
    }
  }

  BootTime now(size_t I) const {
    return BootTime(std::chrono::seconds(m_Time + (I == 0 ? 100 : 5000)));
  }
  usage::Moment moment(size_t I) const {
    return {now(I),
            usage::endOf(ReportedWindow, Length) + std::chrono::seconds(m_Time),
            m_Gateways[I].Lease.epoch(now(I))};
  }

  void feedLease(size_t I, const lease::Event &Input) {
    for (lease::Action &Action : m_Gateways[I].Lease.step(Input, now(I)))
      if (std::holds_alternative<lease::ReadRow>(Action) ||
          std::holds_alternative<lease::CommitRow>(Action))
        m_Gateways[I].LeaseCall = std::move(Action);
  }

  void feedDuty(size_t I, const usage::Event &Input) {
    for (usage::Action &Action : m_Gateways[I].Duty.step(Input, moment(I))) {
      if (std::holds_alternative<usage::MissedWindow>(Action))
        continue;
      if (m_Gateways[I].DutyCall)
        m_Violation = "two calls of the duty at once";
      // Without records a holder sends what it has counted.
      if (const auto *Write = std::get_if<usage::WriteRecord>(&Action);
          Write && !m_Bounds.Records)
        Action = usage::SendReport{Write->Record, *moment(I).Epoch};
      m_Gateways[I].DutyCall = std::move(Action);
    }
  }

  lease::Event carryOut(const lease::Action &Call) {
    if (std::holds_alternative<lease::ReadRow>(Call))
      return m_Lease;
    const auto &Commit = std::get<lease::CommitRow>(Call);
    if (Commit.ExpectedVersion != m_Lease.Version)
      return lease::CommitConflicted{};
    m_Lease = {m_Lease.Version + 1, Commit.Holder, Commit.Epoch,
               Commit.Duration, 1};
    return lease::CommitSucceeded{};
  }

  usage::Event carryOut(const usage::Action &Call) {
    if (const auto *Read = std::get_if<usage::ReadRecord>(&Call))
      return usage::RecordRead{m_Rows.at(Read->Row)};
    if (const auto *Write = std::get_if<usage::WriteRecord>(&Call)) {
      usage::RecordRow &Row = m_Rows.at(Write->Row);
      if (Row.Version != Write->ExpectedVersion)
        return usage::WriteFailed{};
      Row = {Row.Version + 1, Write->Record};
      return usage::RecordWritten{};
    }
    const auto &Send = std::get<usage::SendReport>(Call);
    const auto [Known, IsFirst] =
        m_Accepted.try_emplace(Send.Recorded.Window, Send.Recorded.Requests);
    if (!IsFirst && Known->second != Send.Recorded.Requests)
      m_Violation = "two reports of one window differ";
    return usage::ReportAnswered{Send.Recorded.Window, usage::Reply::Accepted};
  }

  static usage::Event lostAnswer(const usage::Action &Call) {
    if (std::holds_alternative<usage::ReadRecord>(Call))
      return usage::ReadFailed{};
    if (std::holds_alternative<usage::WriteRecord>(Call))
      return usage::WriteFailed{};
    return usage::ReportAnswered{
        std::get<usage::SendReport>(Call).Recorded.Window,
        usage::Reply::Failed};
  }

  template <typename TryStep> void gatewaySteps(size_t I, TryStep &&Try) const {
    const std::string Name = I == 0 ? "a: " : "b: ";
    const Gateway &Self = m_Gateways[I];
    if (Self.DutyCall) {
      Try(Name + "its call is carried out", [&](UsageSimulation &Next) {
        const usage::Event Answer = Next.carryOut(*Self.DutyCall);
        Next.m_Gateways[I].DutyCall.reset();
        if (!Self.IsKilled)
          Next.feedDuty(I, Answer);
      });
      if (m_Lost < m_Bounds.LostAnswers && !Self.IsKilled)
        Try(Name + "the answer of its call is lost",
            [&](UsageSimulation &Next) {
              ++Next.m_Lost;
              Next.carryOut(*Self.DutyCall);
              Next.m_Gateways[I].DutyCall.reset();
              Next.feedDuty(I, lostAnswer(*Self.DutyCall));
            });
    }
    if (Self.IsKilled)
      return;
    if (Self.LeaseCall)
      Try(Name + "the call for the lease is carried out",
          [&](UsageSimulation &Next) {
            const lease::Event Answer = Next.carryOut(*Self.LeaseCall);
            Next.m_Gateways[I].LeaseCall.reset();
            Next.feedLease(I, Answer);
          });
    else
      Try(Name + "ticks", [&](UsageSimulation &Next) {
        Next.feedLease(I, lease::Tick{});
        Next.feedDuty(I, usage::Tick{});
      });
    if (m_Kills < m_Bounds.Kills)
      Try(Name + "is killed", [&](UsageSimulation &Next) {
        ++Next.m_Kills;
        Next.m_Gateways[I].IsKilled = true;
        Next.m_Gateways[I].LeaseCall.reset();
      });
  }

  UsageBounds m_Bounds;
  int m_Time = 0;
  int m_Lost = 0;
  int m_Kills = 0;
  lease::RowRead m_Lease{0, "", 0, {}, 1};
  std::array<usage::RecordRow, usage::UsageDuty::Rows> m_Rows;
  std::array<Gateway, 2> m_Gateways;
  /// What the receiver has accepted, by window.
  std::map<usage::WindowNumber, usage::Counts> m_Accepted;
  uint64_t m_HighestEpoch = 0;
  std::string m_Violation;
};

} // namespace figlift::test
