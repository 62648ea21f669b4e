//===- TestCrashingParts.cpp - Prompt parts that crash engines ------------===//
//
// A gateway whose engines crash when they begin to write an answer to a prompt
// with a certain part. No two of these prompts are alike, and sound ones share
// their other parts. Each test checks two bounds together, as either alone is
// easy to keep: few harmful prompts reach engines, and most sound ones are
// served at their first attempt.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInPlatform.h"

#include <boost/asio/steady_timer.hpp>

#include <CppUTest/TestHarness.h>

#include <functional>
#include <optional>
#include <vector>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

const std::string HarmfulPart = "dead";
/// Interval of rounds of requests.
constexpr milliseconds RoundTime{50};
constexpr unsigned SoundPerRound = 3;
constexpr unsigned RoundsPerHarmful = 4;
constexpr unsigned Subjects = 8;
/// Time in which an engine writes an answer, or begins to write and crashes.
constexpr milliseconds WriteTime{20};
constexpr milliseconds Downtime{400};
/// Time for the answers to the last requests of a play.
constexpr milliseconds AnswerTime{300};
/// The platform's stable window, and its bounds on harmful requests.
constexpr milliseconds StableWindow{3000};
constexpr unsigned TolerableCrashes = 5;
constexpr unsigned LaterSends = 3;
/// Without five crashes the bounds hold after this time.
constexpr milliseconds LearningTime{5000};

std::string field(const proxy::Request &Request, const std::string &Name) {
  return std::string(Request.Head.Headers.find(Name).value_or(""));
}

bool isHarmful(const proxy::Request &Request) {
  return contains(field(Request, "X-Prompt-Prefix"), HarmfulPart + ":");
}

bool isPrefill(const proxy::Request &Request) {
  return field(Request, "X-Stage") == "prefill";
}

/// One request on a connection of its own.
struct Attempt {
  KeepAliveCaller Connection;
  Clock::time_point SentAt;

  bool hasBegun() {
    return contains(Connection.received(), "HTTP/1.1 200") &&
           contains(Connection.received(), "id: 1");
  }
};

struct ServedShare {
  unsigned Sent = 0;
  unsigned Begun = 0;

  double value() const { return Sent == 0 ? 0 : double(Begun) / Sent; }
};

} // namespace

struct CrashingEngines : Utest {
  GatewayFixture Fixture;
  proxy::BodyFraming Framing = proxy::BodyFraming::Chunks;
  /// First part of each prompt, unless the harmful part is the first one.
  std::string FirstPart = "c1";
  bool HarmfulPartIsFirst = false;
  /// The body of each prompt is another one.
  bool HasBody = true;

  unsigned Crashes = 0;
  std::optional<Clock::time_point> FifthCrash;
  Clock::time_point LastCrash = Clock::now();
  /// Harmful requests that reached an engine later than StableWindow after the
  /// fifth crash.
  unsigned LateSends = 0;
  std::vector<std::string> Engines;
  unsigned Restarts = 0;
  unsigned Requests = 0;

  void after(milliseconds Delay, std::function<void()> Action) {
    const auto Timer =
        std::make_shared<boost::asio::steady_timer>(Fixture.Loop, Delay);
    Timer->async_wait([Timer, Action = std::move(Action)](const auto &Code) {
      if (!Code)
        Action();
    });
  }

  void startServing(unsigned PrefillEngines, unsigned DecodeEngines) {
    for (unsigned I = 0; I < PrefillEngines; ++I)
      Fixture.addServer(
          "p" + std::to_string(I), "model",
          [this](const proxy::Request &Request, const Caller &To) {
            recordArrival(Request);
            completePrefill(Request, To);
          },
          "prefill");
    for (unsigned I = 0; I < DecodeEngines; ++I) {
      const std::string Id = "d" + std::to_string(I);
      Fixture.addServer(
          Id, "model", [](const auto &, const auto &) {}, "decode");
      Engines.push_back(Id);
      setBehaviour(Id, I);
    }
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    const std::string Count = std::to_string(PrefillEngines + DecodeEngines);
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets " + Count) &&
             Fixture.Store.value("figlift-gateways", "#secret") != "";
    }));
  }

  void setBehaviour(const std::string &Id, size_t Place) {
    Fixture.setBehaviour(
        Id, [this, Id, Place](const proxy::Request &Request, const Caller &To) {
          // The successor of a crashed engine has its address.
          if (field(Request, "X-Expect-Instance") != Id)
            return rejectUnexecuted(Request, To, 421);
          recordArrival(Request);
          if (isPrefill(Request))
            return rejectUnexecuted(Request, To);
          To->beginStream(head(Request), Framing);
          if (isHarmful(Request))
            return beginAndCrash(To, Place);
          after(WriteTime, [To] {
            To->writeStream("id: 1\ndata: yes\n\n");
            To->endStream();
          });
        });
  }

  static proxy::ResponseHead head(const proxy::Request &Request) {
    proxy::ResponseHead Head;
    Head.Status = 200;
    Head.Headers.add("X-Attempt-Id", field(Request, "X-Attempt-Id"));
    Head.Headers.add("X-Response-Signature", "s");
    return Head;
  }

  void recordArrival(const proxy::Request &Request) {
    if (isHarmful(Request) && FifthCrash &&
        Clock::now() - *FifthCrash > StableWindow)
      ++LateSends;
  }

  void beginAndCrash(const Caller &To, size_t Place) {
    const std::string Id = Engines[Place];
    after(WriteTime, [this, To, Id, Place] {
      if (Framing == proxy::BodyFraming::ConnectionEnd) {
        // The answer looks whole, and the process ends afterwards.
        To->writeStream("id: 1\ndata: y\n\n");
        To->endStream();
      }
      after(WriteTime, [this, Id, Place] {
        if (Engines[Place] == Id)
          crash(Place);
      });
    });
  }

  void crash(size_t Place) {
    ++Crashes;
    LastCrash = Clock::now();
    if (Crashes == TolerableCrashes)
      FifthCrash = LastCrash;
    crashWithoutCause(Place);
  }

  void crashWithoutCause(size_t Place) {
    const std::string Id = std::exchange(Engines[Place], "");
    Fixture.crash(Id);
    after(Downtime, [this, Id, Place] {
      Engines[Place] = "again" + std::to_string(++Restarts);
      Fixture.restartAs(Id, Engines[Place]);
      setBehaviour(Engines[Place], Place);
    });
  }

  std::unique_ptr<Attempt> send(bool Harmful) {
    const std::string Number = std::to_string(++Requests);
    const std::string Subject = "a" + std::to_string(Requests % Subjects);
    const std::string Parts = !Harmful ? FirstPart + ":200," + Subject + ":100,"
                              : HarmfulPartIsFirst
                                  ? HarmfulPart + ":200," + Subject + ":100,"
                                  : FirstPart + ":200," + HarmfulPart + ":100,";
    const std::string Body = HasBody ? "prompt " + Number : "";
    auto Sent =
        std::make_unique<Attempt>(KeepAliveCaller(Fixture), Clock::now());
    Sent->Connection.sendBytes(
        "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r" + Number +
        "\r\nX-Token-Count: 400,2\r\nX-Prompt-Prefix: " + Parts + "f" + Number +
        ":100\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
        Body);
    return Sent;
  }

  /// Sends rounds of requests for \p Time and returns how many of the sound
  /// ones began.
  ServedShare play(milliseconds Time, bool WithHarmful) {
    std::vector<std::unique_ptr<Attempt>> Sound;
    std::vector<std::unique_ptr<Attempt>> Harmful;
    unsigned Round = 0;
    for (const auto End = Clock::now() + Time; Clock::now() < End;) {
      if (WithHarmful && ++Round % RoundsPerHarmful == 0)
        Harmful.push_back(send(true));
      for (unsigned I = 0; I < SoundPerRound; ++I)
        Sound.push_back(send(false));
      Fixture.Loop.run_for(RoundTime);
    }
    ServedShare Share{static_cast<unsigned>(Sound.size()), 0};
    Fixture.Loop.run_for(AnswerTime);
    for (const auto &Request : Sound)
      Share.Begun += Request->hasBegun() ? 1 : 0;
    return Share;
  }

  /// Plays calm, learning and judged time, and checks both bounds.
  void checkBounds() {
    const ServedShare Calm = play(milliseconds(1000), false);
    const auto Begin = Clock::now();
    while (Clock::now() - Begin < LearningTime ||
           (FifthCrash && Clock::now() - *FifthCrash < 2 * StableWindow))
      play(milliseconds(500), true);
    const ServedShare Judged = play(milliseconds(3000), true);
    UT_PRINT(StringFromFormat("%u crashes, %u late sends, sound begun %.3f in "
                              "calm, %.3f judged",
                              Crashes, LateSends, Calm.value(), Judged.value())
                 .asCharString());
    CHECK(Crashes >= 1);
    CHECK(LateSends <= LaterSends);
    CHECK(Judged.value() >= Calm.value() / 2);
    // A low share in calm would make the bound above easy to keep.
    CHECK(Calm.value() > 0.9);
  }
};

TEST_GROUP_BASE(CrashingParts, CrashingEngines){};

// Failure: prompts with one part in common crash one engine after another,
// since no two of them are the same request.
TEST(CrashingParts, AreRejectedWhileSoundPromptsAreServed) {
  startServing(0, 4);
  checkBounds();
}

// Failure: prompts with a part that crashes engines are refused only before
// they are run, and still take the time of the engines that read prompts.
TEST(CrashingParts, AreRejectedBeforeTheirPrefill) {
  startServing(2, 4);
  checkBounds();
}

// Failure: an answer that ends with its connection looks complete, although
// its engine has crashed, and clears the part that crashes engines.
TEST(CrashingParts, AreRejectedWhenServersCrashInOrder) {
  Framing = proxy::BodyFraming::ConnectionEnd;
  startServing(0, 4);
  checkBounds();
}

// Failure: the part of the prompts that crash engines is their first one, and
// parts that follow it are blamed instead.
TEST(CrashingParts, AreRejectedAsFirstParts) {
  HarmfulPartIsFirst = true;
  startServing(0, 4);
  checkBounds();
}

// Failure: prompts without a body are taken for the same request, and sound
// ones are refused with those that crash engines.
TEST(CrashingParts, AreRejectedWithoutBodies) {
  HasBody = false;
  startServing(0, 4);
  checkBounds();
}

// Failure: engines also crash for other reasons, and the part that all prompts
// begin with is blamed.
TEST(CrashingParts, AreRejectedBesideUnrelatedCrashes) {
  startServing(0, 6);
  std::function<void()> CrashOne = [&] {
    const size_t Place = Restarts % Engines.size();
    if (!Engines[Place].empty())
      crashWithoutCause(Place);
    after(milliseconds(700), CrashOne);
  };
  after(milliseconds(700), CrashOne);
  checkBounds();
}
