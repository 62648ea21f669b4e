//===- TestPeerStoreUpdates.cpp - Store updates received from peers -------===//
//
// The peer is a socket in the test that seals datagrams with the fleet's secret
// or with another one.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include "LibDispatch/DatagramSeal.h"
#include "LibDispatch/PeerReport.h"
#include "LibDispatch/StoreUpdate.h"

#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <array>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using boost::asio::ip::udp;
using std::chrono::milliseconds;

TEST_GROUP(PeerStoreUpdates) {
  const std::string Secret = dispatch::DatagramSeal::newSecret();
  dispatch::DatagramSeal Seal =
      dispatch::DatagramSeal::fromSecret(Secret).value();
  GatewayFixture Fixture;
  udp::socket Peer{Fixture.Loop};

  void setup() override {
    Fixture.Store.put("figlift-gateways", "#secret", Secret);
    Peer.open(udp::v4());
    Peer.bind({boost::asio::ip::make_address_v4("127.0.0.1"), 0});
    Fixture.addServer("e1", "plain", respondWith("one"));
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
  }
  void send(char Kind, const std::string &Body) {
    const Endpoint To = Fixture.Settings.Listen.Peers;
    Peer.send_to(boost::asio::buffer(Seal.seal(Kind, Body)),
                 {boost::asio::ip::make_address_v4(To.Address), To.Port});
  }
  /// Returns the store updates that the gateway has sent to the peer.
  std::vector<dispatch::StoreUpdate> receivedUpdates() {
    std::vector<dispatch::StoreUpdate> Updates;
    std::array<char, 65536> Bytes;
    boost::system::error_code Code;
    while (const size_t Count =
               Peer.receive(boost::asio::buffer(Bytes), 0, Code))
      if (const auto Datagram = Seal.open({Bytes.data(), Count});
          Datagram && Datagram->Kind == 'N')
        Updates.push_back(dispatch::decodeStoreUpdate(Datagram->Body).value());
    return Updates;
  }
  /// Sends a store update. The peer's name sorts before the gateway's, so the
  /// peer is the elected reader of the store.
  void announce(std::vector<dispatch::ServerChange> Changes,
                uint64_t Configuration = 0) {
    dispatch::PeerReport Report;
    Report.Sender = "a";
    send('R', encodePeerReport(Report));
    // Assigns versions as if the store had written the changes.
    for (dispatch::ServerChange &Change : Changes) {
      Fixture.Store.put("elsewhere", "row", "");
      Change.Version = {Fixture.Store.era(), Fixture.Store.version()};
    }
    send('N', dispatch::encodeStoreUpdate(
                  {"a",
                   {{Fixture.Store.era(), 0},
                    {Fixture.Store.era(), Fixture.Store.version()},
                    milliseconds(0),
                    Changes},
                   {Configuration, milliseconds(0)}}));
  }
  static dispatch::ServerChange addedServer(const std::string &Id) {
    dispatch::Target Target;
    Target.Id = Id;
    Target.Service = "plain";
    Target.Address = {"127.0.0.1", 9};
    Target.Zone = "z";
    return {{}, Id, Target};
  }
  bool hasTargets(int Count) {
    return contains(Fixture.metrics(),
                    "figlift_gateway_targets " + std::to_string(Count));
  }
  double metric(const std::string &Name) {
    const std::string Text = Fixture.metrics();
    const size_t Position = Text.find("\n" + Name + " ");
    return Position == std::string::npos
               ? -1
               : std::stod(Text.substr(Position + Name.size() + 2));
  }
  /// Waits until \p Gateway counts the peer as live.
  bool becomesLivePeer(GatewayFixture & Gateway) {
    const Endpoint To = Gateway.Settings.Listen.Peers;
    dispatch::PeerReport Report;
    Report.Sender = "a";
    return Gateway.waitUntil([&] {
      Peer.send_to(
          boost::asio::buffer(Seal.seal('R', encodePeerReport(Report))),
          {boost::asio::ip::make_address_v4(To.Address), To.Port});
      return contains(Gateway.metrics(), "figlift_gateway_live_gateways 2");
    });
  }
  /// Sends an update with the store's current version every 100 ms.
  void announceFor(milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End) {
      announce({}, 1);
      Fixture.Loop.run_for(milliseconds(100));
    }
  }
};

TEST(PeerStoreUpdates, AddAndRemoveServers) {
  CHECK(hasTargets(1));
  announce({addedServer("e2")});
  CHECK(Fixture.waitUntil([&] { return hasTargets(2); }));
  announce({{{}, "e2", {}}});
  CHECK(Fixture.waitUntil([&] { return hasTargets(1); }));
}

// Failure: peers take a gateway for dead whose datagrams cannot be sent, and
// nothing shows that they are not.
TEST(PeerStoreUpdates, FailedSendsAreCounted) {
  // The kernel refuses to broadcast for a socket that has not asked for it.
  Fixture.Store.put("figlift-gateways", "b", "255.255.255.255:9");
  CHECK(Fixture.waitUntil(
      [&] { return metric("figlift_gateway_datagrams_unsent_total") > 0; }));
}

// Failure: requests are sent to an address that is not a server's.
// Sequence: a sender without the fleet's secret announces a server.
// Cause: datagrams are accepted without authentication.
TEST(PeerStoreUpdates, AreDroppedFromOtherSenders) {
  Seal = dispatch::DatagramSeal::fromSecret(dispatch::DatagramSeal::newSecret())
             .value();
  announce({addedServer("e2")});
  CHECK(Fixture.waitUntil(
      [&] { return metric("figlift_gateway_datagrams_refused_total") >= 2; }));
  CHECK(hasTargets(1));
}

// Calls to the store are billed, and updates from peers are equally current.
TEST(PeerStoreUpdates, ReplaceReadsOfTheStore) {
  announceFor(milliseconds(500));
  const double Before = metric("figlift_gateway_store_calls_total");
  announceFor(milliseconds(2500));
  // Allows for reads of the list of peers.
  CHECK(metric("figlift_gateway_store_calls_total") - Before <= 4);
}

// Failure: a draining server gets requests and an old configuration stays
// active.
// Sequence: the peer that reads the store stops or is disconnected.
// Cause: the other gateways wait for its updates.
TEST(PeerStoreUpdates, AreReplacedByReadsWhenThePeerStops) {
  announceFor(milliseconds(500));
  Fixture.addServer("e2", "plain", respondWith("two"));
  const auto PeerStopped = std::chrono::steady_clock::now();
  CHECK(Fixture.waitUntil([&] { return hasTargets(2); }));
  // The maximum age of the cached view plus a margin for a busy machine.
  CHECK(std::chrono::steady_clock::now() - PeerStopped < milliseconds(2000));
}

// Failure: in the first second of a fleet, engines get more retries than the
// fleet's retry budget allows.
// Sequence: all gateways start together. One creates the secret while the
// others read the list of gateways, and they look for the secret 1 s later.
// Cause: until then each gateway knows no peers and uses the whole budget.
TEST(PeerStoreUpdates, AreAcceptedWithinHalfASecondOfAStart) {
  GatewayFixture Late;
  // It is not the first by name, so it waits for the secret of the other.
  Late.Store.put("figlift-gateways", "a", "127.0.0.1:9");
  Late.Loop.run_for(milliseconds(30));
  Late.Store.put("figlift-gateways", "#secret", Secret);
  const auto Start = std::chrono::steady_clock::now();
  CHECK(becomesLivePeer(Late));
  CHECK(std::chrono::steady_clock::now() - Start < milliseconds(500));
}

// Failure: a gateway exchanges no load reports for a minute after an outage.
// Sequence: it starts while the store is unavailable. Several reads of the list
// of gateways, which holds the secret, fail, and later reads are infrequent.
// Cause: failed reads count as the frequent reads after a start.
TEST(PeerStoreUpdates, AreAcceptedSoonAfterAnOutageAtTheStart) {
  GatewayFixture Late;
  Late.Store.Unavailable = true;
  Late.Loop.run_for(milliseconds(4200));
  Late.Store.put("figlift-gateways", "#secret", Secret);
  Late.Store.Unavailable = false;
  CHECK(becomesLivePeer(Late));
}

// Failure: peers learn of a change only from their own reads, up to 1.25 s
// later, because a peer has just announced the previous version.
TEST(PeerStoreUpdates, AnnounceANewerConfigurationImmediately) {
  Peer.non_blocking(true);
  dispatch::PeerReport Report;
  Report.Sender = "z";
  const dispatch::StoreVersion Current{Fixture.Store.era(),
                                       Fixture.Store.version()};
  std::optional<std::chrono::steady_clock::time_point> Changed;
  const auto Age = [&] {
    return Changed ? std::chrono::ceil<milliseconds>(
                         std::chrono::steady_clock::now() - *Changed)
                   : milliseconds(0);
  };
  // The peer continues to announce the previous version, read before the
  // change.
  bool Announced = false;
  const auto AnnouncesTwo = [&] {
    send('R', encodePeerReport(Report));
    send('N', dispatch::encodeStoreUpdate(
                  {"z", {Current, Current, Age(), {}}, {1, Age()}}));
    Fixture.Loop.run_for(milliseconds(20));
    for (const dispatch::StoreUpdate &Update : receivedUpdates())
      Announced = Announced || Update.Configuration.Version == 2;
    return Announced;
  };
  for (int Index = 0; Index < 20; ++Index)
    CHECK(!AnnouncesTwo());
  Fixture.configure(2);
  Changed = std::chrono::steady_clock::now();
  CHECK(Fixture.waitUntil(AnnouncesTwo));
  CHECK(Age() < milliseconds(700));
}

// Failure: requests are routed to a removed server until the next full read.
// Sequence: a gateway reads the list of servers again after the store rejected
// its calls. An entry is missing and is kept for a grace period. Before peers
// that reach the store have read the removal, the gateway announces to them
// that nothing has changed.
// Cause: a read that yields no event is treated as a read without changes.
TEST(PeerStoreUpdates, DoNotHideARemoval) {
  Peer.non_blocking(true);
  dispatch::PeerReport Report;
  Report.Sender = "z";
  Fixture.addServer("e2", "plain", respondWith("two"));
  CHECK(Fixture.waitUntil([&] { return hasTargets(2); }));
  Fixture.Store.Unavailable = true;
  Fixture.Loop.run_for(milliseconds(900));
  Fixture.Store.remove("servers", "e2");
  const dispatch::StoreVersion Removal{Fixture.Store.era(),
                                       Fixture.Store.version()};
  Fixture.Store.Unavailable = false;
  bool HasUpdate = false;
  bool HidesRemoval = false;
  CHECK(Fixture.waitUntil([&] {
    send('R', encodePeerReport(Report));
    Fixture.Loop.run_for(milliseconds(20));
    for (const dispatch::StoreUpdate &Update : receivedUpdates())
      if (Update.Servers.UpTo >= Removal) {
        HasUpdate = true;
        const bool HasRemoval = std::any_of(
            Update.Servers.Changes.begin(), Update.Servers.Changes.end(),
            [](const dispatch::ServerChange &Change) {
              return Change.Id == "e2" && !Change.Entry;
            });
        HidesRemoval =
            HidesRemoval || (Update.Servers.After < Removal && !HasRemoval);
      }
    return HasUpdate;
  }));
  CHECK(!HidesRemoval);
}
