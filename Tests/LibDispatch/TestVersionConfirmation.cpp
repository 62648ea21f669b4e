//===- TestVersionConfirmation.cpp - Servers that may have restarted ------===//
//
// Reads of the list of servers before and after an address refused.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/VersionConfirmation.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;
using Read = VersionConfirmation::Read;

TEST_GROUP(VersionConfirmation) {
  VersionConfirmation Versions;
  const BootTime Start{std::chrono::hours(1)};
  const ServerStart Server{"a", StartTime(milliseconds(1))};

  void setup() override { Versions.recordRefusal(Server, Start); }
  /// One read that was sent at \p SentMs and returned one entry of the server.
  void read(Read Kind, int SentMs, uint64_t Heartbeat) {
    Target Entry;
    Entry.Id = Server.TargetId;
    Entry.Started = Server.Started;
    Entry.Heartbeat = Heartbeat;
    Versions.recordEntry(Entry, Kind, Start + milliseconds(SentMs));
    Versions.recordRead(Kind, Start + milliseconds(SentMs));
  }
  bool isConfirmed() const { return Versions.isConfirmed(Server); }
};

// Failure: a server that still runs gets no streams any more.
TEST(VersionConfirmation, SecondHeartbeatAfterTheRefusalConfirms) {
  CHECK_FALSE(isConfirmed());
  read(Read::Changes, 100, 7);
  CHECK_FALSE(isConfirmed());
  read(Read::Changes, 900, 8);
  CHECK(isConfirmed());
  CHECK(Versions.allConfirmed());
}

// Failure: an entry that was written before the refusal, and read after it,
// confirms a process that has ended.
TEST(VersionConfirmation, EntryOfBeforeTheRefusalDoesNotConfirm) {
  read(Read::Changes, -50, 7);
  read(Read::Changes, 100, 8);
  CHECK_FALSE(isConfirmed());
  read(Read::Full, 200, 9);
  read(Read::Full, 300, 9);
  CHECK_FALSE(isConfirmed());
  read(Read::Full, 1300, 10);
  CHECK(isConfirmed());
}

// Failure: a write that the store received late confirms a process that has
// ended.
TEST(VersionConfirmation, OlderHeartbeatDoesNotConfirm) {
  read(Read::Full, 100, 7);
  read(Read::Changes, 200, 6);
  CHECK_FALSE(isConfirmed());
}

// Failure: a read of before the last of several refusals confirms.
TEST(VersionConfirmation, RefusalAgainNeedsReadsAgain) {
  read(Read::Full, 100, 7);
  CHECK_FALSE(Versions.recordRefusal(Server, Start + milliseconds(200)));
  read(Read::Changes, 300, 8);
  CHECK_FALSE(isConfirmed());
  read(Read::Changes, 1500, 9);
  CHECK(isConfirmed());
}

// Failure: a server that restarted, or that cannot be told apart from its
// successor, is left out.
TEST(VersionConfirmation, OtherStartsAreConfirmed) {
  CHECK(Versions.isConfirmed({"a", StartTime(milliseconds(2))}));
  CHECK_FALSE(Versions.recordRefusal({"b", std::nullopt}, Start));
  CHECK(Versions.isConfirmed({"b", std::nullopt}));
}

// Failure: while the store is down and the list stays, a server that refused is
// taken for confirmed after a minute.
TEST(VersionConfirmation, RefusalsOfListedServersDoNotExpire) {
  const auto IsListed = [](const ServerStart &) { return true; };
  Versions.expire(IsListed, Start + std::chrono::seconds(50));
  Versions.expire(IsListed, Start + std::chrono::seconds(100));
  CHECK_FALSE(isConfirmed());
}

// Failure: servers that are gone are kept forever.
TEST(VersionConfirmation, RefusalsOfOtherServersExpire) {
  const auto IsListed = [](const ServerStart &) { return false; };
  Versions.expire(IsListed, Start + std::chrono::seconds(60));
  CHECK_FALSE(isConfirmed());
  Versions.expire(IsListed, Start + std::chrono::seconds(61));
  CHECK(Versions.allConfirmed());
}
