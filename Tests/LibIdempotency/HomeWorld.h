//===- HomeWorld.h - Two homes, one slice, a few keys -----------*- C++ -*-===//
//
// Bounded world for the exploration of HomeMachine: two slots whose agents may
// be killed and restarted, calls that arrive late and twice at either of them,
// sends that a paused or dead process had decided on and that reach the target
// later, handovers whose messages and table writes are delayed, takeovers by a
// planner, and wall clocks that differ.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Exploration/Explorer.h"
#include "LibIdempotency/HomeMachine.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figlift::test {

using namespace idempotency;

struct HomeBounds {
  HomeOptions Options{std::chrono::seconds(1), std::chrono::seconds(2)};
  int LastTime = 5;
  /// Mint times of the keys, in seconds; negative: not a UUIDv7 key.
  std::vector<int> Minted;
  int CallsPerKey = 2;
  int Kills = 1;
  int Restarts = 1;
  int Handovers = 1;
  int Takeovers = 1;
  /// Answers of the table that are lost.
  int LostAnswers = 0;
  int FailuresBeforeSend = 0;
  /// Wall clock of slot 1 minus that of slot 0, in seconds.
  int Skew = 0;
  /// The platform's list may call a living VM gone.
  bool ListMayBeEarly = false;
  /// A restarted home reads its grant and does not write it anew.
  bool RestartOnlyReads = false;
  /// The successor serves as soon as it has the claims.
  bool GrantBeforeCommit = false;
};

class HomeWorld {
public:
  explicit HomeWorld(const HomeBounds &Bounds)
      : m_Bounds(Bounds), m_Keys(keysOfOneSlice(Bounds.Minted.size())),
        m_Slots{Slot(Bounds.Options), Slot(Bounds.Options)} {
    m_Calls.assign(m_Keys.size(), 0);
    m_Runs.assign(m_Keys.size(), 0);
    feed(0, SliceGranted{slice(), 1, GrantReason::Initial});
  }

  template <typename Sink> void describe(Sink &&Put) const {
    Put(m_Time, m_Row.Home, m_Row.Epoch, m_Row.Version, m_Row.How, m_Broken);
    Put(m_Kills, m_Restarts, m_Handovers, m_Takeovers, m_Lost, m_Failures);
    for (size_t Key = 0; Key != m_Keys.size(); ++Key)
      Put(m_Calls[Key], m_Runs[Key]);
    for (const Slot &One : m_Slots) {
      Put(One.Alive, One.Gone, One.Process, One.Recovered);
      One.Machine.describe(Put);
    }
    for (const Pending &One : m_Sends)
      Put('s', One.Slot, One.Process, One.Token, One.Key, One.Ran);
    for (const Message &One : m_Messages) {
      Put('m', One.To, One.Process, One.Sent.index());
      if (const auto *Claims = std::get_if<ClaimsReceived>(&One.Sent)) {
        Put(Claims->Epoch, Claims->Complete);
        for (const Claim &What : Claims->Claims)
          Put(What.Key, What.State);
      }
      if (const auto *Stored = std::get_if<HandoverAcknowledged>(&One.Sent))
        Put(Stored->Epoch);
    }
    for (const Write &One : m_Writes)
      Put('w', One.From, One.Process, One.Version, One.Epoch, One.Answered);
  }

  std::string violation() const { return m_Broken; }

  template <typename Visit> void successors(Visit &&Do) const {
    auto Try = [&](const std::string &Label, auto &&Change) {
      HomeWorld Next = *this;
      Change(Next);
      Do("t=" + std::to_string(m_Time) + " " + Label, std::move(Next));
    };
    if (m_Time < m_Bounds.LastTime)
      Try("time passes", [](HomeWorld &W) { ++W.m_Time; });
    callSteps(Try);
    targetSteps(Try);
    messageSteps(Try);
    tableSteps(Try);
    for (size_t I = 0; I != 2; ++I)
      slotSteps(I, Try);
  }

private:
  struct Slot {
    explicit Slot(const HomeOptions &Options) : Machine(Options) {}
    HomeMachine Machine;
    bool Alive = true;
    /// The VM is gone for good.
    bool Gone = false;
    int Process = 0;
    /// This process knows what the row says of its slot.
    bool Recovered = true;
  };
  /// A call that a process decided to send. Lives on when the process dies.
  struct Pending {
    int Slot;
    int Process;
    uint64_t Token;
    size_t Key;
    bool Ran;
  };
  /// A message between the two homes; lost when either process dies.
  struct Message {
    int To;
    int Process;
    int FromProcess;
    Event Sent;
  };
  /// A grant on its way to the table. Lives on when the process dies.
  struct Write {
    int From;
    int Process;
    uint64_t Version;
    uint64_t Epoch;
    /// The process has been told that the outcome is unknown.
    bool Answered;
  };
  struct Row {
    int Home = 0;
    uint64_t Epoch = 1;
    uint64_t Version = 1;
    GrantReason How = GrantReason::Initial;
  };

  static std::vector<std::string> keysOfOneSlice(size_t Count) {
    std::vector<std::string> Keys;
    for (int I = 0; Keys.size() != Count; ++I)
      if (std::string Key = "k" + std::to_string(I); sliceOf(Key) == 0)
        Keys.push_back(Key);
    return Keys;
  }

  SliceId slice() const { return 0; }
  BootTime now() const { return BootTime(std::chrono::seconds(1000 + m_Time)); }
  WallTime wall(size_t I) const {
    return WallTime(
        std::chrono::seconds(100 + m_Time + (I ? m_Bounds.Skew : 0)));
  }
  size_t indexOf(const std::string &Key) const {
    return std::ranges::find(m_Keys, Key) - m_Keys.begin();
  }

  void feed(size_t I, const Event &What) {
    auto Actions = m_Slots[I].Machine.step(What, now(), wall(I));
    for (const Action &One : Actions)
      std::visit([&](const auto &Done) { on(I, Done); }, One);
  }

  void on(size_t I, const SendToTarget &Send) {
    m_Sends.push_back({static_cast<int>(I), m_Slots[I].Process, Send.Token,
                       indexOf(Send.Key), false});
  }
  void on(size_t, const AnswerCaller &Answered) {
    if (m_Runs[Answered.Token / 10] == 0)
      m_Broken = "an answer without a run";
  }
  void on(size_t, const RefuseCaller &Refused) {
    size_t Key = Refused.Token / 10;
    // HomeMoved goes to an entry, which looks for the right home; it speaks
    // of this one call. All other refusals speak of the key.
    bool OfKey = Refused.Code != ResultCode::HomeMoved;
    bool Ran = OfKey && m_Runs[Key] > 0;
    for (const Pending &One : m_Sends)
      Ran |= One.Key == Key && (OfKey || One.Token == Refused.Token);
    if (Ran)
      m_Broken = "\"not run\" for a key that ran or may still run";
  }
  void on(size_t, const UnknownToCaller &) {}
  void on(size_t, const JoinWaiters &) {}
  void on(size_t I, const SendClaims &Sent) {
    message(I, ClaimsReceived{Sent.Slice, Sent.Epoch, Sent.Claims,
                              Sent.Complete, Sent.OldUntil});
  }
  void on(size_t I, const AcknowledgeClaims &Stored) {
    message(I, HandoverAcknowledged{Stored.Slice, Stored.Epoch});
    if (m_Bounds.GrantBeforeCommit)
      feed(I, SliceGranted{slice(), Stored.Epoch, GrantReason::Handover});
  }
  void on(size_t I, const CommitGrant &Grant) {
    m_Writes.push_back({static_cast<int>(I), m_Slots[I].Process, m_Row.Version,
                        Grant.Epoch, false});
  }
  void on(size_t, const AnnounceGrant &) {}

  void message(size_t From, Event Sent) {
    const Slot &To = m_Slots[1 - From];
    if (To.Alive)
      m_Messages.push_back({static_cast<int>(1 - From), To.Process,
                            m_Slots[From].Process, std::move(Sent)});
  }

  template <typename TryStep> void callSteps(TryStep &&Try) const {
    for (size_t Key = 0; Key != m_Keys.size(); ++Key)
      for (size_t I = 0; I != 2; ++I) {
        if (m_Calls[Key] == m_Bounds.CallsPerKey || !m_Slots[I].Alive)
          continue;
        Try(label(I) + "gets key " + std::to_string(Key), [&](HomeWorld &W) {
          uint64_t Token = Key * 10 + W.m_Calls[Key]++;
          CallReceived Call{Token, m_Keys[Key], "f", std::nullopt};
          if (int Minted = m_Bounds.Minted[Key]; Minted >= 0)
            Call.MintedAt = WallTime(std::chrono::seconds(100 + Minted));
          W.feed(I, Call);
        });
      }
  }

  template <typename TryStep> void targetSteps(TryStep &&Try) const {
    for (size_t At = 0; At != m_Sends.size(); ++At) {
      const Pending &One = m_Sends[At];
      const Slot &From = m_Slots[One.Slot];
      bool Lives = From.Alive && From.Process == One.Process;
      auto Erase = [At](HomeWorld &W) { eraseAt(W.m_Sends, At); };
      std::string Name = "call " + std::to_string(One.Token);
      if (!One.Ran) {
        Try(Name + " reaches the target", [&](HomeWorld &W) {
          if (++W.m_Runs[One.Key] > 1)
            W.m_Broken = "key " + std::to_string(One.Key) + " ran twice";
          Lives ? void(W.m_Sends[At].Ran = true) : Erase(W);
        });
        if (Lives && m_Failures < m_Bounds.FailuresBeforeSend)
          Try(Name + " is not sent", [&](HomeWorld &W) {
            ++W.m_Failures;
            Erase(W);
            W.feed(One.Slot, TargetFailedBeforeSend{m_Keys[One.Key]});
          });
      } else if (Lives) {
        Try(Name + " is answered", [&](HomeWorld &W) {
          Erase(W);
          W.feed(One.Slot, TargetAnswered{m_Keys[One.Key], {200, "", ""}});
        });
      }
    }
  }

  template <typename TryStep> void messageSteps(TryStep &&Try) const {
    for (size_t At = 0; At != m_Messages.size(); ++At) {
      const Message &One = m_Messages[At];
      Try(label(One.To) + "gets a message of its peer", [&](HomeWorld &W) {
        eraseAt(W.m_Messages, At);
        if (W.m_Slots[One.To].Alive && W.m_Slots[One.To].Process == One.Process)
          W.feed(One.To, One.Sent);
      });
    }
  }

  template <typename TryStep> void tableSteps(TryStep &&Try) const {
    for (size_t At = 0; At != m_Writes.size(); ++At) {
      const Write &One = m_Writes[At];
      Try("the grant for the peer of " + label(One.From) + "reaches the table",
          [&](HomeWorld &W) {
            eraseAt(W.m_Writes, At);
            bool Done = W.m_Row.Version == One.Version;
            if (Done)
              W.m_Row = {1 - One.From, One.Epoch, One.Version + 1,
                         GrantReason::Handover};
            if (!W.writerLives(One) || One.Answered)
              return;
            if (Done)
              W.feed(One.From, GrantCommitted{slice(), One.Epoch});
            else
              W.feed(One.From, HandoverFailed{slice()});
          });
      if (writerLives(One) && !One.Answered && m_Lost < m_Bounds.LostAnswers)
        Try("the answer for " + label(One.From) + "is lost", [&](HomeWorld &W) {
          ++W.m_Lost;
          W.m_Writes[At].Answered = true;
        });
    }
  }

  bool writerLives(const Write &One) const {
    return m_Slots[One.From].Alive && m_Slots[One.From].Process == One.Process;
  }

  template <typename TryStep> void slotSteps(size_t I, TryStep &&Try) const {
    const Slot &One = m_Slots[I];
    const Slot &Other = m_Slots[1 - I];
    bool Named = m_Row.Home == static_cast<int>(I);
    if (One.Alive && m_Kills < m_Bounds.Kills)
      Try(label(I) + "is killed", [&](HomeWorld &W) {
        ++W.m_Kills;
        W.m_Slots[I].Alive = false;
        std::erase_if(W.m_Messages, [&](const Message &Lost) {
          return Lost.To == static_cast<int>(I) || Lost.To == int(1 - I);
        });
      });
    if (!One.Alive && !One.Gone && m_Restarts < m_Bounds.Restarts)
      Try(label(I) + "starts anew", [&](HomeWorld &W) {
        ++W.m_Restarts;
        int Process = One.Process + 1;
        W.m_Slots[I] = Slot(m_Bounds.Options);
        W.m_Slots[I].Process = Process;
        W.m_Slots[I].Recovered = false;
      });
    if (One.Alive && !One.Recovered)
      Try(label(I) + "takes up its grant", [&](HomeWorld &W) { W.takeUp(I); });
    if (One.Alive && One.Recovered && Named)
      Try(label(I) + "learns its grant", [&](HomeWorld &W) {
        W.feed(I, SliceGranted{slice(), m_Row.Epoch, m_Row.How});
      });
    if (One.Alive && One.Recovered && !Named)
      Try(label(I) + "learns the other's grant", [&](HomeWorld &W) {
        W.feed(I, SliceLost{slice(), m_Row.Epoch});
      });
    if (One.Alive && One.Machine.serves(slice()) && Other.Alive &&
        m_Handovers < m_Bounds.Handovers)
      Try(label(I) + "is asked to hand over", [&](HomeWorld &W) {
        ++W.m_Handovers;
        W.feed(I, HandoverRequested{slice(), "peer"});
      });
    bool ListedGone = !One.Alive || m_Bounds.ListMayBeEarly;
    if (Named && ListedGone && Other.Alive && m_Takeovers < m_Bounds.Takeovers)
      Try("the planner gives the slice to " + label(1 - I), [&](HomeWorld &W) {
        ++W.m_Takeovers;
        W.m_Slots[I].Gone = !One.Alive;
        W.m_Row = {static_cast<int>(1 - I), nextTakeoverEpoch(m_Row.Epoch),
                   m_Row.Version + 1, GrantReason::TableTakeover};
      });
  }

  /// A process that is new in its slot finds its target in the row.
  void takeUp(size_t I) {
    m_Slots[I].Recovered = true;
    if (m_Row.Home != static_cast<int>(I))
      return;
    if (!m_Bounds.RestartOnlyReads)
      m_Row = {static_cast<int>(I), nextTakeoverEpoch(m_Row.Epoch),
               m_Row.Version + 1, GrantReason::SameSlotRestart};
    feed(I, SliceGranted{slice(), m_Row.Epoch, GrantReason::SameSlotRestart});
  }

  static std::string label(size_t I) { return I ? "home B " : "home A "; }

  HomeBounds m_Bounds;
  std::vector<std::string> m_Keys;
  std::array<Slot, 2> m_Slots;
  int m_Time = 0;
  Row m_Row;
  std::vector<int> m_Calls;
  std::vector<int> m_Runs;
  std::vector<Pending> m_Sends;
  std::vector<Message> m_Messages;
  std::vector<Write> m_Writes;
  int m_Kills = 0;
  int m_Restarts = 0;
  int m_Handovers = 0;
  int m_Takeovers = 0;
  int m_Lost = 0;
  int m_Failures = 0;
  std::string m_Broken;
};

} // namespace figlift::test
