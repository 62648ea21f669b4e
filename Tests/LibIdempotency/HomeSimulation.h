//===- HomeSimulation.h - Two homes, one slice, a few keys ------*- C++ -*-===//
//
// Bounded model for the exploration of HomeMachine: two slots whose agents may
// be killed and restarted, calls that arrive late and twice at either agent,
// sends of a paused or dead process that reach the target later, handovers with
// delayed messages and table writes, takeovers by a planner, and different wall
// clocks.
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
  /// Mint times of the keys, in seconds; negative if the key is not a UUIDv7.
  std::vector<int> Minted;
  int CallsPerKey = 2;
  int Kills = 1;
  int Restarts = 1;
  int Handovers = 1;
  int Takeovers = 1;
  /// Number of replies of the table that are lost.
  int LostAnswers = 0;
  int FailuresBeforeSend = 0;
  /// Wall clock of slot 1 minus that of slot 0, in seconds.
  int Skew = 0;
  /// The platform's list may show a live VM as gone.
  bool ListMayBeEarly = false;
  /// A restarted home reads its grant but does not rewrite it.
  bool RestartOnlyReads = false;
  /// The successor serves the slice as soon as it has the claims.
  bool GrantBeforeCommit = false;
};

class HomeSimulation {
public:
  explicit HomeSimulation(const HomeBounds &Bounds)
      : m_Bounds(Bounds), m_Keys(keysOfOneSlice(Bounds.Minted.size())),
        m_Slots{Slot(Bounds.Options), Slot(Bounds.Options)} {
    m_Calls.assign(m_Keys.size(), 0);
    m_Runs.assign(m_Keys.size(), 0);
    feed(0, SliceGranted{slice(), 1, GrantReason::Initial});
  }

  template <typename Sink> void describe(Sink &&Put) const {
    Put(m_Time, m_Row.Home, m_Row.Epoch, m_Row.Version, m_Row.Reason,
        m_Violation);
    Put(m_Kills, m_Restarts, m_Handovers, m_Takeovers, m_Lost, m_Failures);
    for (size_t Key = 0; Key != m_Keys.size(); ++Key)
      Put(m_Calls[Key], m_Runs[Key]);
    for (const Slot &Slot : m_Slots) {
      Put(Slot.Alive, Slot.Gone, Slot.Process, Slot.Recovered);
      Slot.Machine.describe(Put);
    }
    for (const Pending &Send : m_Sends)
      Put('s', Send.Slot, Send.Process, Send.Token, Send.Key, Send.Ran);
    for (const Message &Message : m_Messages) {
      Put('m', Message.To, Message.Process, Message.Sent.index());
      if (const auto *Claims = std::get_if<ClaimsReceived>(&Message.Sent)) {
        Put(Claims->Epoch, Claims->Complete);
        for (const Claim &Claim : Claims->Claims)
          Put(Claim.Key, Claim.State);
      }
      if (const auto *Acknowledged =
              std::get_if<HandoverAcknowledged>(&Message.Sent))
        Put(Acknowledged->Epoch);
    }
    for (const Write &Write : m_Writes)
      Put('w', Write.From, Write.Process, Write.Version, Write.Epoch,
          Write.Answered);
  }

  std::string violation() const { return m_Violation; }

  template <typename Visit> void successors(Visit &&Visitor) const {
    auto Try = [&](const std::string &Label, auto &&Change) {
      HomeSimulation Next = *this;
      Change(Next);
      Visitor("t=" + std::to_string(m_Time) + " " + Label, std::move(Next));
    };
    if (m_Time < m_Bounds.LastTime)
      Try("time passes", [](HomeSimulation &Next) { ++Next.m_Time; });
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
    /// The VM does not come back.
    bool Gone = false;
    int Process = 0;
    /// This process has read the grants of its slot in the row.
    bool Recovered = true;
  };
  /// A call that a process decided to send. It remains in flight when the
  /// process dies.
  struct Pending {
    int Slot;
    int Process;
    uint64_t Token;
    size_t Key;
    bool Ran;
  };
  /// A message between the two homes. It is lost when either process dies.
  struct Message {
    int To;
    int Process;
    int FromProcess;
    Event Sent;
  };
  /// A write of a grant to the table. It remains in flight when the process
  /// dies.
  struct Write {
    int From;
    int Process;
    uint64_t Version;
    uint64_t Epoch;
    /// The reply was lost, so the process does not know the outcome.
    bool Answered;
  };
  struct Row {
    int Home = 0;
    uint64_t Epoch = 1;
    uint64_t Version = 1;
    GrantReason Reason = GrantReason::Initial;
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

  void feed(size_t I, const Event &Event) {
    auto Actions = m_Slots[I].Machine.step(Event, now(), wall(I));
    for (const Action &Action : Actions)
      std::visit([&](const auto &Chosen) { on(I, Chosen); }, Action);
  }

  void on(size_t I, const SendToTarget &Send) {
    m_Sends.push_back({static_cast<int>(I), m_Slots[I].Process, Send.Token,
                       indexOf(Send.Key), false});
  }
  void on(size_t, const AnswerCaller &Answered) {
    if (m_Runs[Answered.Token / 10] == 0)
      m_Violation = "a caller was answered but the key did not run";
  }
  void on(size_t, const RefuseCaller &Refused) {
    size_t Key = Refused.Token / 10;
    // HomeMoved is sent to an entry, which then looks for the right home, so it
    // states only that this call did not run. All other refusals state that the
    // key did not run.
    bool CoversKey = Refused.Code != ResultCode::HomeMoved;
    bool Ran = CoversKey && m_Runs[Key] > 0;
    for (const Pending &Send : m_Sends)
      Ran |= Send.Key == Key && (CoversKey || Send.Token == Refused.Token);
    if (Ran)
      m_Violation = "\"not run\" for a key that ran or may still run";
  }
  void on(size_t, const ReportUnknownOutcome &) {}
  void on(size_t, const JoinWaiters &) {}
  void on(size_t I, const SendClaims &Sent) {
    message(I, ClaimsReceived{Sent.Slice, Sent.Epoch, Sent.Claims,
                              Sent.Complete, Sent.OldKeysUntil});
  }
  void on(size_t I, const AcknowledgeClaims &Acknowledged) {
    message(I, HandoverAcknowledged{Acknowledged.Slice, Acknowledged.Epoch});
    if (m_Bounds.GrantBeforeCommit)
      feed(I, SliceGranted{slice(), Acknowledged.Epoch, GrantReason::Handover});
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
        Try(label(I) + "receives key " + std::to_string(Key),
            [&](HomeSimulation &Next) {
              uint64_t Token = Key * 10 + Next.m_Calls[Key]++;
              CallReceived Call{Token, m_Keys[Key], "f", std::nullopt};
              if (int Minted = m_Bounds.Minted[Key]; Minted >= 0)
                Call.MintedAt = WallTime(std::chrono::seconds(100 + Minted));
              Next.feed(I, Call);
            });
      }
  }

  template <typename TryStep> void targetSteps(TryStep &&Try) const {
    for (size_t Index = 0; Index != m_Sends.size(); ++Index) {
      const Pending &Send = m_Sends[Index];
      const Slot &From = m_Slots[Send.Slot];
      bool SenderIsAlive = From.Alive && From.Process == Send.Process;
      auto Erase = [Index](HomeSimulation &Next) {
        eraseAt(Next.m_Sends, Index);
      };
      std::string Name = "call " + std::to_string(Send.Token);
      if (!Send.Ran) {
        Try(Name + " reaches the target", [&](HomeSimulation &Next) {
          if (++Next.m_Runs[Send.Key] > 1)
            Next.m_Violation = "key " + std::to_string(Send.Key) + " ran twice";
          SenderIsAlive ? void(Next.m_Sends[Index].Ran = true) : Erase(Next);
        });
        if (SenderIsAlive && m_Failures < m_Bounds.FailuresBeforeSend)
          Try(Name + " is not sent", [&](HomeSimulation &Next) {
            ++Next.m_Failures;
            Erase(Next);
            Next.feed(Send.Slot, TargetFailedBeforeSend{m_Keys[Send.Key]});
          });
      } else if (SenderIsAlive) {
        Try(Name + " is answered", [&](HomeSimulation &Next) {
          Erase(Next);
          Next.feed(Send.Slot, TargetAnswered{m_Keys[Send.Key], {200, "", ""}});
        });
      }
    }
  }

  template <typename TryStep> void messageSteps(TryStep &&Try) const {
    for (size_t Index = 0; Index != m_Messages.size(); ++Index) {
      const Message &Message = m_Messages[Index];
      Try(label(Message.To) + "receives a message of its peer",
          [&](HomeSimulation &Next) {
            eraseAt(Next.m_Messages, Index);
            if (Next.m_Slots[Message.To].Alive &&
                Next.m_Slots[Message.To].Process == Message.Process)
              Next.feed(Message.To, Message.Sent);
          });
    }
  }

  template <typename TryStep> void tableSteps(TryStep &&Try) const {
    for (size_t Index = 0; Index != m_Writes.size(); ++Index) {
      const Write &Write = m_Writes[Index];
      Try("the grant for the peer of " + label(Write.From) +
              "reaches the table",
          [&](HomeSimulation &Next) {
            eraseAt(Next.m_Writes, Index);
            bool Committed = Next.m_Row.Version == Write.Version;
            if (Committed)
              Next.m_Row = {1 - Write.From, Write.Epoch, Write.Version + 1,
                            GrantReason::Handover};
            if (!Next.writerIsAlive(Write) || Write.Answered)
              return;
            if (Committed)
              Next.feed(Write.From, GrantCommitted{slice(), Write.Epoch});
            else
              Next.feed(Write.From, HandoverFailed{slice()});
          });
      if (writerIsAlive(Write) && !Write.Answered &&
          m_Lost < m_Bounds.LostAnswers)
        Try("the reply to " + label(Write.From) + "is lost",
            [&](HomeSimulation &Next) {
              ++Next.m_Lost;
              Next.m_Writes[Index].Answered = true;
            });
    }
  }

  bool writerIsAlive(const Write &Write) const {
    return m_Slots[Write.From].Alive &&
           m_Slots[Write.From].Process == Write.Process;
  }

  template <typename TryStep> void slotSteps(size_t I, TryStep &&Try) const {
    const Slot &Current = m_Slots[I];
    const Slot &Peer = m_Slots[1 - I];
    bool HoldsGrant = m_Row.Home == static_cast<int>(I);
    if (Current.Alive && m_Kills < m_Bounds.Kills)
      Try(label(I) + "is killed", [&](HomeSimulation &Next) {
        ++Next.m_Kills;
        Next.m_Slots[I].Alive = false;
        std::erase_if(Next.m_Messages, [&](const Message &Lost) {
          return Lost.To == static_cast<int>(I) || Lost.To == int(1 - I);
        });
      });
    if (!Current.Alive && !Current.Gone && m_Restarts < m_Bounds.Restarts)
      Try(label(I) + "restarts", [&](HomeSimulation &Next) {
        ++Next.m_Restarts;
        int Process = Current.Process + 1;
        Next.m_Slots[I] = Slot(m_Bounds.Options);
        Next.m_Slots[I].Process = Process;
        Next.m_Slots[I].Recovered = false;
      });
    if (Current.Alive && !Current.Recovered)
      Try(label(I) + "recovers its grant",
          [&](HomeSimulation &Next) { Next.recover(I); });
    if (Current.Alive && Current.Recovered && HoldsGrant)
      Try(label(I) + "reads its grant", [&](HomeSimulation &Next) {
        Next.feed(I, SliceGranted{slice(), m_Row.Epoch, m_Row.Reason});
      });
    if (Current.Alive && Current.Recovered && !HoldsGrant)
      Try(label(I) + "reads the other's grant", [&](HomeSimulation &Next) {
        Next.feed(I, SliceLost{slice(), m_Row.Epoch});
      });
    if (Current.Alive && Current.Machine.serves(slice()) && Peer.Alive &&
        m_Handovers < m_Bounds.Handovers)
      Try(label(I) + "is asked to hand over", [&](HomeSimulation &Next) {
        ++Next.m_Handovers;
        Next.feed(I, HandoverRequested{slice(), "peer"});
      });
    bool ListedGone = !Current.Alive || m_Bounds.ListMayBeEarly;
    if (HoldsGrant && ListedGone && Peer.Alive &&
        m_Takeovers < m_Bounds.Takeovers)
      Try("the planner grants the slice to " + label(1 - I),
          [&](HomeSimulation &Next) {
            ++Next.m_Takeovers;
            Next.m_Slots[I].Gone = !Current.Alive;
            Next.m_Row = {static_cast<int>(1 - I),
                          nextTakeoverEpoch(m_Row.Epoch), m_Row.Version + 1,
                          GrantReason::TableTakeover};
          });
  }

  /// A restarted process reads the row, which may name its target.
  void recover(size_t I) {
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
  std::string m_Violation;
};

} // namespace figlift::test
