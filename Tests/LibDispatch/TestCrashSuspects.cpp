//===- TestCrashSuspects.cpp - Requests under which servers ended ---------===//
//
// Single tables, what they tell each other, and whole fleets before servers
// that crash by a request, or for reasons of their own.
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
  RequestFingerprint Made;
  std::copy_n(reinterpret_cast<const uint8_t *>(&Number), sizeof(Number),
              Made.Bytes.begin());
  return Made;
}

ServerStart server(unsigned Number) {
  return {"s" + std::to_string(Number), std::nullopt};
}

/// Longer than any datagram is on its way.
constexpr auto RunTime = 60ms;

/// A send that has just broken off.
CrashSuspects::BrokenSend brokenNow(unsigned Server, BootTime Now) {
  return {server(Server), Now - RunTime, Now};
}

} // namespace

TEST_GROUP(CrashSuspects) {
  const RequestFingerprint Guilty = request(1);
  CrashSuspects Table;
  BootTime Now{1h};

  /// One send after another, each in knowledge of how the last one ended.
  void crash(unsigned Times, unsigned From = 0) {
    for (unsigned Each = 0; Each < Times; ++Each) {
      Now += RunTime + 1ms;
      Table.crashed(Guilty, brokenNow(From + Each, Now), Now);
    }
  }
  bool refused() { return Table.refuses(Guilty, Now).has_value(); }
  /// What one table knows goes to the other.
  void tell(CrashSuspects & From, CrashSuspects & To) {
    const auto Bytes = encodeSuspectNews(From.takeFresh(Now));
    const auto News = decodeSuspectNews(Bytes);
    for (const SuspectNews &Each : News.value())
      To.heard(Each, Now);
  }
};

TEST(CrashSuspects, RefusesAfterTheThirdServer) {
  crash(2);
  CHECK(!refused());
  crash(1, 2);
  CHECK(refused());
  CHECK(!Table.refuses(request(2), Now));
}

// Failure: one crash that takes several sends with it is counted for each.
TEST(CrashSuspects, CountsAStartOfAServerOnce) {
  for (int Each = 0; Each < 5; ++Each)
    crash(1);
  LONGS_EQUAL(1, Table.crashes(Guilty));
}

// Failure: a request that many callers send alike is refused, as copies of it
// were at three servers that another request ended.
TEST(CrashSuspects, CountSendsThatWereUnderWayTogetherOnce) {
  const BootTime Began = Now;
  for (unsigned Each = 0; Each < 6; ++Each) {
    Now += 200ms;
    Table.crashed(Guilty, {server(Each), Began, Now}, Now);
  }
  LONGS_EQUAL(6, Table.crashes(Guilty));
  LONGS_EQUAL(1, Table.evidence(Guilty));
  CHECK(!refused());
  crash(1, 10);
  crash(1, 11);
  CHECK(refused());
}

// Failure: a crash that becomes known late is held against a request that has
// run to its end since.
TEST(CrashSuspects, ExcuseWhatHasRunToAnEndSinceTheCrash) {
  const BootTime BrokeOff = Now;
  Now += 5ms;
  Table.completed(Guilty, Now);
  Now += 1s;
  Table.crashed(Guilty, {server(1), BrokeOff - RunTime, BrokeOff}, Now);
  LONGS_EQUAL(0, Table.crashes(Guilty));
  crash(1, 2);
  LONGS_EQUAL(1, Table.crashes(Guilty));
}

// Failure: only the gateway that saw the good end knows of it, and its peers
// hold the crash against the request.
TEST(CrashSuspects, TellThePeerOfARunThatEndedSince) {
  CrashSuspects Other;
  crash(1);
  Now += 5ms;
  Other.completed(Guilty, Now);
  Now += 1s;
  tell(Table, Other);
  for (const SuspectNews &Each : Other.repeats(8, Now))
    Table.heard(Each, Now);
  LONGS_EQUAL(0, Table.crashes(Guilty));
}

// Failure: with many copies under way at first, sends that show who is guilty
// and trials add up to more than three after the third server.
TEST(CrashSuspects, CountSendsAfterTheThirdServerAgainstTheTrials) {
  const BootTime Began = Now;
  for (unsigned Each = 0; Each < 3; ++Each)
    Table.crashed(Guilty, {server(Each), Began, Now}, Now);
  unsigned Sends = 0;
  for (Now += 3s; Now < BootTime{24h}; Now += 4s) {
    Table.tick(Now);
    if (Table.holdsBack(Guilty, Now))
      continue;
    ++Sends;
    Table.sent(Guilty, Now);
    crash(1, 10 + Sends);
  }
  LONGS_EQUAL(3, Sends);
}

// Failure: how the last send ended is known late, and others follow meanwhile.
TEST(CrashSuspects, WaitForTheLastSendAfterTheThirdServer) {
  const BootTime Began = Now;
  for (unsigned Each = 0; Each < 3; ++Each)
    Table.crashed(Guilty, {server(Each), Began, Now}, Now);
  Table.sent(Guilty, Now);
  Now += 4s;
  CHECK(Table.holdsBack(Guilty, Now).has_value());
  Now += 2s;
  CHECK(!Table.holdsBack(Guilty, Now));
}

TEST(CrashSuspects, ClearsARequestThatRunsToAnEnd) {
  crash(2);
  Table.completed(Guilty, Now);
  LONGS_EQUAL(0, Table.crashes(Guilty));
  Now += 1s;
  crash(1, 2);
  LONGS_EQUAL(1, Table.crashes(Guilty));
}

// Failure: copies of a request at several gateways end a server each while the
// first crash is being told.
TEST(CrashSuspects, LetsASuspectRunAlone) {
  CrashSuspects Other;
  crash(1);
  CHECK(!Table.holdsBack(Guilty, Now));
  Table.sent(Guilty, Now);
  tell(Table, Other);
  CHECK(Other.holdsBack(Guilty, Now).has_value());
  Now += 501ms;
  CHECK(!Other.holdsBack(Guilty, Now));
}

// Failure: an attempt that has its prompt read waits for its own run.
TEST(CrashSuspects, DoesNotHoldUpTheAttemptThatRunsAlone) {
  crash(1);
  Table.sent(Guilty, Now);
  CHECK(!refused());
}

TEST(CrashSuspects, TriesARefusedRequestSeldomAndNotForEver) {
  unsigned Trials = 0;
  crash(3);
  for (; Now < BootTime{24h}; Now += 1s) {
    Table.tick(Now);
    if (refused())
      continue;
    ++Trials;
    crash(1, 10 + Trials);
  }
  LONGS_EQUAL(3, Trials);
}

TEST(CrashSuspects, TellsWhenToComeBack) {
  crash(3);
  CHECK(Table.refuses(Guilty, Now)->RetryAfter == 30s);
  Now += 12s;
  CHECK(Table.refuses(Guilty, Now)->RetryAfter == 18s);
}

TEST(CrashSuspects, CountsACrashThatSeveralTellOnce) {
  CrashSuspects Other;
  CrashSuspects Third;
  crash(1);
  Other.crashed(Guilty, brokenNow(0, Now), Now);
  tell(Table, Third);
  tell(Other, Third);
  LONGS_EQUAL(1, Third.crashes(Guilty));
  for (unsigned Each = 1; Each < 3; ++Each) {
    Now += RunTime + 1ms;
    Third.crashed(Guilty, brokenNow(Each, Now), Now);
  }
  tell(Third, Table);
  CHECK(refused());
}

// Failure: a peer that has not heard of a request's good end brings its
// suspicion back.
TEST(CrashSuspects, StayClearedThoughAPeerTellsOldCrashes) {
  CrashSuspects Late;
  crash(2);
  tell(Table, Late);
  Now += 10ms;
  Table.completed(Guilty, Now);
  for (const SuspectNews &Each : Late.repeats(8, Now))
    Table.heard(Each, Now);
  LONGS_EQUAL(0, Table.crashes(Guilty));
  tell(Table, Late);
  LONGS_EQUAL(0, Late.crashes(Guilty));
}

// Failure: a gateway that was cut off, or starts, runs what all others refuse.
TEST(CrashSuspects, TellAgainWhatManyServersEndedUnder) {
  crash(3);
  Table.takeFresh(Now);
  for (unsigned Each = 100; Each < 200; ++Each)
    Table.crashed(request(Each), brokenNow(50, Now), Now);
  CrashSuspects Started;
  // Long after the telling that was lost, and before the first trial.
  Now += 10s;
  for (const SuspectNews &Each : Table.repeats(8, Now))
    Started.heard(Each, Now);
  CHECK(Started.refuses(Guilty, Now).has_value());
  LONGS_EQUAL(1, Started.size());
}

TEST(CrashSuspects, KeepTheWorstWhenTheyAreMany) {
  crash(3);
  for (unsigned Each = 0; Each < 10000; ++Each)
    Table.crashed(request(100 + Each), brokenNow(50, Now), Now);
  CHECK(Table.size() <= CrashSuspectOptions{}.MaximumSuspects);
  CHECK(refused());
}

TEST(CrashSuspects, AreForgotten) {
  crash(2);
  Now += 11min;
  Table.tick(Now);
  CHECK(Table.empty());
}

TEST(CrashSuspects, RefuseNewsThatNobodyWrites) {
  CHECK(!decodeSuspectNews("no news"));
  CHECK(!decodeSuspectNews(""));
  SuspectNews Future;
  Future.Crashes.push_back({server(1), -5ms});
  CHECK(!decodeSuspectNews(encodeSuspectNews({Future})));
  Future.Crashes = {{server(1), 5ms, 0}};
  CHECK(!decodeSuspectNews(encodeSuspectNews({Future})));
  Future.Crashes.clear();
  Future.Alone = std::chrono::milliseconds(INT64_MAX);
  CHECK(!decodeSuspectNews(encodeSuspectNews({Future})));
}

namespace {

/// Gateways before servers; datagrams between them are late and lost.
class CrashModel {
public:
  CrashModel(unsigned Gateways, uint64_t Seed)
      : m_Tables(Gateways), m_Random(Seed) {}

  unsigned draw(unsigned Count) {
    return std::uniform_int_distribution<unsigned>(0, Count - 1)(m_Random);
  }
  bool chance(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(m_Random) < Share;
  }
  /// A new start ends under these; its gateways tell all others.
  void crash(const std::vector<std::pair<unsigned, unsigned>> &RequestsAt) {
    const auto Ended = brokenNow(1000 + ++m_Starts, Now);
    for (const auto &[Request, Gateway] : RequestsAt) {
      m_Tables[Gateway].crashed(request(Request), Ended, Now);
      tell(Gateway);
    }
  }
  /// Whether the gateway sends the request now; the others hear of it.
  bool sends(unsigned Request, unsigned Gateway) {
    if (m_Tables[Gateway].holdsBack(request(Request), Now))
      return false;
    m_Tables[Gateway].sent(request(Request), Now);
    tell(Gateway);
    return true;
  }
  bool refuses(unsigned Request, unsigned Gateway) const {
    return m_Tables[Gateway].refuses(request(Request), Now).has_value();
  }
  void completes(unsigned Request, unsigned Gateway) {
    m_Tables[Gateway].completed(request(Request), Now);
    tell(Gateway);
  }
  void pass(std::chrono::milliseconds Time) {
    Now += Time;
    while (!m_Ways.empty() && m_Ways.front().At <= Now) {
      for (const SuspectNews &Each : m_Ways.front().News)
        m_Tables[m_Ways.front().To].heard(Each, Now);
      m_Ways.pop_front();
    }
    if (Now - m_Repeated < 100ms * std::max<size_t>(1, m_Tables.size() / 20))
      return;
    m_Repeated = Now;
    for (unsigned From = 0; From < m_Tables.size(); ++From) {
      m_Tables[From].tick(Now);
      send(From, m_Tables[From].repeats(10, Now));
    }
  }
  void restart(unsigned Gateway) {
    m_Tables[Gateway] = CrashSuspects();
    m_Restarted[Gateway] = Now;
  }
  /// It has run for as long as the platform's bound for being in touch.
  bool inTouch(unsigned Gateway) const {
    const auto Found = m_Restarted.find(Gateway);
    return Found == m_Restarted.end() || Now - Found->second > 3s;
  }

  BootTime Now{1h};
  /// Share of the datagrams that are lost.
  double Lost = 0.1;
  std::chrono::milliseconds Way{5};

private:
  struct OnItsWay {
    BootTime At{};
    unsigned To = 0;
    std::vector<SuspectNews> News;
  };
  void tell(unsigned From) { send(From, m_Tables[From].takeFresh(Now)); }
  void send(unsigned From, const std::vector<SuspectNews> &News) {
    if (News.empty())
      return;
    for (unsigned To = 0; To < m_Tables.size(); ++To)
      if (To != From && !chance(Lost))
        m_Ways.push_back({Now + Way, To, News});
  }

  std::vector<CrashSuspects> m_Tables;
  std::mt19937_64 m_Random;
  std::deque<OnItsWay> m_Ways;
  std::map<unsigned, BootTime> m_Restarted;
  BootTime m_Repeated{};
  unsigned m_Starts = 0;
};

} // namespace

TEST_GROUP(CrashSuspectsOfAFleet){};

// Failure: later than three seconds after the third crash the request is sent
// to more than three servers.
TEST(CrashSuspectsOfAFleet, SendAGuiltyRequestToNoMoreThanThreeServers) {
  for (const unsigned Gateways : {1U, 4U, 30U, 103U})
    for (uint64_t Seed = 1; Seed <= (Gateways < 30 ? 5 : 2); ++Seed) {
      CrashModel Fleet(Gateways, Seed);
      Fleet.Lost = 0.1 * static_cast<double>(Seed);
      unsigned Crashes = 0;
      unsigned Later = 0;
      BootTime Third{};
      struct Run {
        BootTime Ends{};
        unsigned Gateway = 0;
      };
      std::deque<Run> Runs;
      const int Steps = Gateways < 30 ? 6000 : 2000;
      for (int Step = 0; Step < Steps; ++Step) {
        Fleet.pass(10ms);
        while (!Runs.empty() && Runs.front().Ends <= Fleet.Now) {
          Fleet.crash({{1, Runs.front().Gateway}});
          Runs.pop_front();
          if (++Crashes == 3)
            Third = Fleet.Now;
        }
        // What one that is alone knows ends with it.
        if (Gateways > 1 && Fleet.chance(0.01))
          Fleet.restart(Fleet.draw(Gateways));
        // It comes ten times a second, to any gateway.
        const unsigned At = Fleet.draw(Gateways);
        if (!Fleet.chance(0.1) || !Fleet.sends(1, At))
          continue;
        Runs.push_back({Fleet.Now + RunTime, At});
        if (Third != BootTime{} && Fleet.Now - Third > 3s && Fleet.inTouch(At))
          ++Later;
      }
      CHECK(Crashes >= 3);
      CHECK(Later <= 3);
    }
}

// Failure: a request that was at servers which ended for reasons of their own
// is refused for good, though nothing is wrong with it.
TEST(CrashSuspectsOfAFleet, RefuseNoInnocentRequestForGood) {
  constexpr unsigned Gateways = 4;
  constexpr unsigned Crashes = 10000;
  constexpr unsigned Busy = 6;
  /// How often the common one is sent between two crashes.
  constexpr unsigned Common = 8;
  CrashModel Fleet(Gateways, 7);
  unsigned Refused = 0;
  unsigned NextRequest = 100;
  for (unsigned Crash = 0; Crash < Crashes; ++Crash) {
    std::vector<std::pair<unsigned, unsigned>> Beside;
    for (unsigned Each = 0; Each < Busy; ++Each)
      Beside.emplace_back(NextRequest++, Fleet.draw(Gateways));
    // One that all callers send alike is at each server that ends.
    Beside.emplace_back(1, Fleet.draw(Gateways));
    Fleet.crash(Beside);
    Fleet.pass(20ms);
    // Each comes again once.
    for (const auto &[Request, Gateway] : Beside) {
      if (Request == 1)
        continue;
      const unsigned At = Fleet.draw(Gateways);
      Refused += Fleet.refuses(Request, At) ? 1 : 0;
      if (Fleet.sends(Request, At))
        Fleet.completes(Request, At);
    }
    Fleet.pass(20ms);
    for (unsigned Each = 0; Each < Common; ++Each) {
      const unsigned At = Fleet.draw(Gateways);
      Refused += Fleet.refuses(1, At) ? 1 : 0;
      if (Fleet.sends(1, At))
        Fleet.completes(1, At);
      Fleet.pass(10ms);
    }
  }
  Fleet.pass(1s);
  for (unsigned At = 0; At < Gateways; ++At)
    for (unsigned Request = 1; Request < NextRequest; ++Request)
      CHECK(!Fleet.refuses(Request, At));
  // A gateway that missed that the request was cleared may refuse it until it
  // is told again.
  CHECK(Refused * 1000 < Crashes * (Busy + Common));
}
