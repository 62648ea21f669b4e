//===- TestCrashSuspects.cpp - Requests suspected of crashing servers -----===//
//
// Covers single tables, the exchange of updates between them, and simulated
// fleets with servers that crash because of a request or for other reasons.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CrashSuspects.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

using namespace figlift;
using namespace figlift::dispatch;
using namespace std::chrono_literals;

namespace {

RequestFingerprint request(unsigned Number) {
  RequestFingerprint Fingerprint;
  std::copy_n(reinterpret_cast<const uint8_t *>(&Number), sizeof(Number),
              Fingerprint.Bytes.begin());
  return Fingerprint;
}

ServerStart server(unsigned Number) {
  return {"s" + std::to_string(Number), std::nullopt};
}

/// Longer than the delivery of any datagram takes.
constexpr auto RunTime = 60ms;

/// A send that has just been interrupted.
CrashSuspects::InterruptedSend interruptedNow(unsigned Server, BootTime Now) {
  return {server(Server), Now - RunTime, Now};
}

} // namespace

TEST_GROUP(CrashSuspects) {
  const RequestFingerprint Guilty = request(1);
  CrashSuspects Table;
  BootTime Now{1h};

  /// Sends the request repeatedly, each time after the previous crash is known.
  void crash(unsigned Times, unsigned First = 0) {
    for (unsigned I = 0; I < Times; ++I) {
      Now += RunTime + 1ms;
      Table.recordCrash(Guilty, interruptedNow(First + I, Now), Now);
    }
  }
  bool isRejected() { return Table.rejectsAttempt(Guilty, Now).has_value(); }
  /// Delivers the changes of one table to the other.
  void sendChanges(CrashSuspects & From, CrashSuspects & To) {
    const auto Bytes = encodeSuspectUpdates(From.takeChanges(Now));
    const auto Updates = decodeSuspectUpdates(Bytes);
    for (const SuspectUpdate &Update : Updates.value())
      To.applyUpdate(Update, Now);
  }
};

TEST(CrashSuspects, RejectsAfterThirdCrash) {
  crash(2);
  CHECK(!isRejected());
  crash(1, 2);
  CHECK(isRejected());
  CHECK(!Table.rejectsAttempt(request(2), Now));
}

// Guards against: one crash that interrupts several sends counts once per send.
TEST(CrashSuspects, CountsOneCrashPerServerStart) {
  for (int I = 0; I < 5; ++I)
    crash(1);
  LONGS_EQUAL(1, Table.crashes(Guilty));
}

// Guards against: a request that many callers send is rejected because copies
// of it were running on three servers that another request crashed.
TEST(CrashSuspects, CountsOverlappingSendsOnceAsEvidence) {
  const BootTime StartedAt = Now;
  for (unsigned I = 0; I < 6; ++I) {
    Now += 200ms;
    Table.recordCrash(Guilty, {server(I), StartedAt, Now}, Now);
  }
  LONGS_EQUAL(6, Table.crashes(Guilty));
  LONGS_EQUAL(1, Table.evidence(Guilty));
  CHECK(!isRejected());
  crash(1, 10);
  crash(1, 11);
  CHECK(isRejected());
}

// Guards against: a crash that is detected late counts against a request that
// has completed since.
TEST(CrashSuspects, IgnoresCrashBeforeCompletion) {
  const BootTime InterruptedAt = Now;
  Now += 5ms;
  Table.recordCompletion(Guilty, Now);
  Now += 1s;
  Table.recordCrash(Guilty, {server(1), InterruptedAt - RunTime, InterruptedAt},
                    Now);
  LONGS_EQUAL(0, Table.crashes(Guilty));
  crash(1, 2);
  LONGS_EQUAL(1, Table.crashes(Guilty));
}

// Guards against: only the gateway that saw the completion knows of it, and its
// peers still count the crash.
TEST(CrashSuspects, SendsCompletionToPeer) {
  CrashSuspects Other;
  crash(1);
  Now += 5ms;
  Other.recordCompletion(Guilty, Now);
  Now += 1s;
  sendChanges(Table, Other);
  for (const SuspectUpdate &Update : Other.takeRetransmissions(8, Now))
    Table.applyUpdate(Update, Now);
  LONGS_EQUAL(0, Table.crashes(Guilty));
}

// Guards against: when many copies run at first, the sends that add evidence
// and the trials add up to more than three after the third crash.
TEST(CrashSuspects, CountsSendsAfterLimitAsTrials) {
  const BootTime StartedAt = Now;
  for (unsigned I = 0; I < 3; ++I)
    Table.recordCrash(Guilty, {server(I), StartedAt, Now}, Now);
  unsigned Sends = 0;
  for (Now += 3s; Now < BootTime{24h}; Now += 4s) {
    Table.expire(Now);
    if (Table.rejectsNewAttempt(Guilty, Now))
      continue;
    ++Sends;
    Table.recordSend(Guilty, Now);
    crash(1, 10 + Sends);
  }
  LONGS_EQUAL(3, Sends);
}

// Guards against: the outcome of the last send is known late, and the request
// is sent again before that.
TEST(CrashSuspects, IsolatesSendsLongerAtLimit) {
  const BootTime StartedAt = Now;
  for (unsigned I = 0; I < 3; ++I)
    Table.recordCrash(Guilty, {server(I), StartedAt, Now}, Now);
  Table.recordSend(Guilty, Now);
  Now += 4s;
  CHECK(Table.rejectsNewAttempt(Guilty, Now).has_value());
  Now += 2s;
  CHECK(!Table.rejectsNewAttempt(Guilty, Now));
}

TEST(CrashSuspects, ClearsCompletedRequest) {
  crash(2);
  Table.recordCompletion(Guilty, Now);
  LONGS_EQUAL(0, Table.crashes(Guilty));
  Now += 1s;
  crash(1, 2);
  LONGS_EQUAL(1, Table.crashes(Guilty));
}

// Guards against: copies of a request at several gateways crash a server each
// before the update about the first crash arrives.
TEST(CrashSuspects, IsolatesSuspect) {
  CrashSuspects Other;
  crash(1);
  CHECK(!Table.rejectsNewAttempt(Guilty, Now));
  Table.recordSend(Guilty, Now);
  sendChanges(Table, Other);
  CHECK(Other.rejectsNewAttempt(Guilty, Now).has_value());
  Now += 501ms;
  CHECK(!Other.rejectsNewAttempt(Guilty, Now));
}

// Guards against: an attempt that has finished prefill waits for its own
// isolation time before it goes on to decode.
TEST(CrashSuspects, DoesNotBlockIsolatedAttempt) {
  crash(1);
  Table.recordSend(Guilty, Now);
  CHECK(!isRejected());
}

TEST(CrashSuspects, LimitsTrialsOfRejectedRequest) {
  unsigned Trials = 0;
  crash(3);
  for (; Now < BootTime{24h}; Now += 1s) {
    Table.expire(Now);
    if (isRejected())
      continue;
    ++Trials;
    crash(1, 10 + Trials);
  }
  LONGS_EQUAL(3, Trials);
}

TEST(CrashSuspects, ReportsRetryAfter) {
  crash(3);
  CHECK(Table.rejectsAttempt(Guilty, Now)->RetryAfter == 30s);
  Now += 12s;
  CHECK(Table.rejectsAttempt(Guilty, Now)->RetryAfter == 18s);
}

TEST(CrashSuspects, CountsCrashReportedByTwoPeersOnce) {
  CrashSuspects Other;
  CrashSuspects Third;
  crash(1);
  Other.recordCrash(Guilty, interruptedNow(0, Now), Now);
  sendChanges(Table, Third);
  sendChanges(Other, Third);
  LONGS_EQUAL(1, Third.crashes(Guilty));
  for (unsigned I = 1; I < 3; ++I) {
    Now += RunTime + 1ms;
    Third.recordCrash(Guilty, interruptedNow(I, Now), Now);
  }
  sendChanges(Third, Table);
  CHECK(isRejected());
}

// Guards against: a peer that has not received the completion of a request
// makes it a suspect again.
TEST(CrashSuspects, StaysClearedAfterOutdatedUpdate) {
  CrashSuspects Late;
  crash(2);
  sendChanges(Table, Late);
  Now += 10ms;
  Table.recordCompletion(Guilty, Now);
  for (const SuspectUpdate &Update : Late.takeRetransmissions(8, Now))
    Table.applyUpdate(Update, Now);
  LONGS_EQUAL(0, Table.crashes(Guilty));
  sendChanges(Table, Late);
  LONGS_EQUAL(0, Late.crashes(Guilty));
}

// Guards against: a gateway that was partitioned or has just started runs a
// request that all others reject.
TEST(CrashSuspects, RetransmitsRequestsWithSeveralCrashes) {
  crash(3);
  Table.takeChanges(Now);
  for (unsigned I = 100; I < 200; ++I)
    Table.recordCrash(request(I), interruptedNow(50, Now), Now);
  CrashSuspects Started;
  // Later than RetransmitTime after the lost update, and before the first
  // trial.
  Now += 10s;
  for (const SuspectUpdate &Update : Table.takeRetransmissions(8, Now))
    Started.applyUpdate(Update, Now);
  CHECK(Started.rejectsAttempt(Guilty, Now).has_value());
  LONGS_EQUAL(1, Started.size());
}

TEST(CrashSuspects, EvictsEntriesWithFewestCrashes) {
  crash(3);
  for (unsigned I = 0; I < 10000; ++I)
    Table.recordCrash(request(100 + I), interruptedNow(50, Now), Now);
  CHECK(Table.size() <= CrashSuspectOptions{}.MaximumSuspects);
  CHECK(isRejected());
}

TEST(CrashSuspects, DropsExpiredEntries) {
  crash(2);
  Now += 11min;
  Table.expire(Now);
  CHECK(Table.empty());
}

TEST(CrashSuspects, RejectsInvalidUpdates) {
  CHECK(!decodeSuspectUpdates("no update"));
  CHECK(!decodeSuspectUpdates(""));
  SuspectUpdate Future;
  Future.Crashes.push_back({server(1), -5ms});
  CHECK(!decodeSuspectUpdates(encodeSuspectUpdates({Future})));
  Future.Crashes = {{server(1), 5ms, 0}};
  CHECK(!decodeSuspectUpdates(encodeSuspectUpdates({Future})));
  Future.Crashes.clear();
  Future.Isolation = std::chrono::milliseconds(INT64_MAX);
  CHECK(!decodeSuspectUpdates(encodeSuspectUpdates({Future})));
}

namespace {

/// Gateways that share servers. Datagrams between gateways are delayed and
/// lost.
class CrashModel {
public:
  CrashModel(unsigned Gateways, uint64_t Seed)
      : m_Tables(Gateways), m_Random(Seed) {}

  unsigned draw(unsigned Count) {
    return std::uniform_int_distribution<unsigned>(0, Count - 1)(m_Random);
  }
  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(m_Random) < Probability;
  }
  /// A new server start crashes while running these requests; their gateways
  /// send updates to all others.
  void crash(const std::vector<std::pair<unsigned, unsigned>> &RequestsAt) {
    const auto Ended = interruptedNow(1000 + ++m_LastStart, Now);
    for (const auto &[Request, Gateway] : RequestsAt) {
      m_Tables[Gateway].recordCrash(request(Request), Ended, Now);
      sendChanges(Gateway);
    }
  }
  /// Sends the request unless the gateway rejects it, and reports that to the
  /// other gateways. Returns whether it was sent.
  bool trySend(unsigned Request, unsigned Gateway) {
    if (m_Tables[Gateway].rejectsNewAttempt(request(Request), Now))
      return false;
    m_Tables[Gateway].recordSend(request(Request), Now);
    sendChanges(Gateway);
    return true;
  }
  bool rejectsAttempt(unsigned Request, unsigned Gateway) const {
    return m_Tables[Gateway].rejectsAttempt(request(Request), Now).has_value();
  }
  void complete(unsigned Request, unsigned Gateway) {
    m_Tables[Gateway].recordCompletion(request(Request), Now);
    sendChanges(Gateway);
  }
  void advance(std::chrono::milliseconds Time) {
    Now += Time;
    while (!m_Datagrams.empty() && m_Datagrams.front().At <= Now) {
      for (const SuspectUpdate &Update : m_Datagrams.front().Updates)
        m_Tables[m_Datagrams.front().To].applyUpdate(Update, Now);
      m_Datagrams.pop_front();
    }
    if (Now - m_RetransmittedAt <
        100ms * std::max<size_t>(1, m_Tables.size() / 20))
      return;
    m_RetransmittedAt = Now;
    for (unsigned From = 0; From < m_Tables.size(); ++From) {
      m_Tables[From].expire(Now);
      send(From, m_Tables[From].takeRetransmissions(10, Now));
    }
  }
  void restartGateway(unsigned Gateway) {
    m_Tables[Gateway] = CrashSuspects();
    m_Restarted[Gateway] = Now;
  }
  /// Whether the gateway has run for longer than three seconds, the platform's
  /// limit for a new process to be connected.
  bool isConnected(unsigned Gateway) const {
    const auto Position = m_Restarted.find(Gateway);
    return Position == m_Restarted.end() || Now - Position->second > 3s;
  }

  BootTime Now{1h};
  /// Fraction of the datagrams that are lost.
  double LossRate = 0.1;
  std::chrono::milliseconds Latency{5};

private:
  struct Datagram {
    BootTime At{};
    unsigned To = 0;
    std::vector<SuspectUpdate> Updates;
  };
  void sendChanges(unsigned From) {
    send(From, m_Tables[From].takeChanges(Now));
  }
  void send(unsigned From, const std::vector<SuspectUpdate> &Updates) {
    if (Updates.empty())
      return;
    for (unsigned To = 0; To < m_Tables.size(); ++To)
      if (To != From && !chance(LossRate))
        m_Datagrams.push_back({Now + Latency, To, Updates});
  }

  std::vector<CrashSuspects> m_Tables;
  std::mt19937_64 m_Random;
  std::deque<Datagram> m_Datagrams;
  std::map<unsigned, BootTime> m_Restarted;
  BootTime m_RetransmittedAt{};
  unsigned m_LastStart = 0;
};

} // namespace

TEST_GROUP(CrashSuspectsFleet){};

// Guards against: a request is sent to more than three servers later than three
// seconds after its third crash.
TEST(CrashSuspectsFleet, LimitsServersCrashedByOneRequest) {
  for (const unsigned Gateways : {1U, 4U, 30U, 103U})
    for (uint64_t Seed = 1; Seed <= (Gateways < 30 ? 5 : 2); ++Seed) {
      CrashModel Fleet(Gateways, Seed);
      Fleet.LossRate = 0.1 * static_cast<double>(Seed);
      unsigned Crashes = 0;
      unsigned LateSends = 0;
      BootTime ThirdCrashAt{};
      struct Run {
        BootTime EndsAt{};
        unsigned Gateway = 0;
      };
      std::deque<Run> Runs;
      const int Steps = Gateways < 30 ? 6000 : 2000;
      for (int Step = 0; Step < Steps; ++Step) {
        Fleet.advance(10ms);
        while (!Runs.empty() && Runs.front().EndsAt <= Fleet.Now) {
          Fleet.crash({{1, Runs.front().Gateway}});
          Runs.pop_front();
          if (++Crashes == 3)
            ThirdCrashAt = Fleet.Now;
        }
        // The state of a single gateway is lost with it.
        if (Gateways > 1 && Fleet.chance(0.01))
          Fleet.restartGateway(Fleet.draw(Gateways));
        // The request arrives ten times a second, at a random gateway.
        const unsigned Gateway = Fleet.draw(Gateways);
        if (!Fleet.chance(0.1) || !Fleet.trySend(1, Gateway))
          continue;
        Runs.push_back({Fleet.Now + RunTime, Gateway});
        if (ThirdCrashAt != BootTime{} && Fleet.Now - ThirdCrashAt > 3s &&
            Fleet.isConnected(Gateway))
          ++LateSends;
      }
      CHECK(Crashes >= 3);
      CHECK(LateSends <= 3);
    }
}

// Guards against: a harmless request is rejected permanently because the
// servers that ran it crashed for other reasons.
TEST(CrashSuspectsFleet, DoesNotRejectHarmlessRequestPermanently) {
  constexpr unsigned Gateways = 4;
  constexpr unsigned Crashes = 10000;
  constexpr unsigned OtherRequests = 6;
  /// Sends of the common request between two crashes.
  constexpr unsigned CommonSends = 8;
  CrashModel Fleet(Gateways, 7);
  unsigned Rejections = 0;
  unsigned NextRequest = 100;
  for (unsigned Crash = 0; Crash < Crashes; ++Crash) {
    std::vector<std::pair<unsigned, unsigned>> Running;
    for (unsigned I = 0; I < OtherRequests; ++I)
      Running.emplace_back(NextRequest++, Fleet.draw(Gateways));
    // The request that all callers send is running on each server that crashes.
    Running.emplace_back(1, Fleet.draw(Gateways));
    Fleet.crash(Running);
    Fleet.advance(20ms);
    // Each request is sent once more.
    for (const auto &[Request, Unused] : Running) {
      if (Request == 1)
        continue;
      const unsigned Gateway = Fleet.draw(Gateways);
      Rejections += Fleet.rejectsAttempt(Request, Gateway) ? 1 : 0;
      if (Fleet.trySend(Request, Gateway))
        Fleet.complete(Request, Gateway);
    }
    Fleet.advance(20ms);
    for (unsigned I = 0; I < CommonSends; ++I) {
      const unsigned Gateway = Fleet.draw(Gateways);
      Rejections += Fleet.rejectsAttempt(1, Gateway) ? 1 : 0;
      if (Fleet.trySend(1, Gateway))
        Fleet.complete(1, Gateway);
      Fleet.advance(10ms);
    }
  }
  Fleet.advance(1s);
  for (unsigned Gateway = 0; Gateway < Gateways; ++Gateway)
    for (unsigned Request = 1; Request < NextRequest; ++Request)
      CHECK(!Fleet.rejectsAttempt(Request, Gateway));
  // A gateway that missed the completion may reject the request until the next
  // retransmission.
  CHECK(Rejections * 1000 < Crashes * (OtherRequests + CommonSends));
}
