//===- PromiseBook.h - The promises, checked as they are kept ---*- C++ -*-===//
//
// Takes what callers sent and got, what servers received, and what was
// disturbed when; says which promise was broken. It knows nothing of the
// gateways' insides. Pure: times come in with the events.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace figlift::soak {

enum class Repeatable { Yes, No };

/// One request of a caller, by its attempt id.
struct Attempt {
  std::string Id;
  /// The gateway that it went to.
  std::string Gateway;
  std::string Service;
  Repeatable Kind = Repeatable::Yes;
  BootTime Sent{};
  /// Its deadline, or the timeout of its route if that is shorter.
  std::chrono::milliseconds Allowed{2000};
  /// What all attempts of one request that crashes servers have in common;
  /// empty for the others.
  std::string Crashing = {};
};

/// A request as it reached a server.
struct Arrival {
  std::string AttemptId;
  std::string Server;
  std::string Service;
  /// The prompt is read and nothing runs.
  bool ReadsPrompt = false;
  /// The server turned it away, so it has not run.
  bool TurnedAway = false;
};

/// What a caller saw in the end.
struct Outcome {
  std::string AttemptId;
  /// 0: the connection ended without a whole answer.
  unsigned Status = 0;
  bool Signed = false;
  std::string Body;
  /// Events of a stream that was due to have this many; 0 for none.
  unsigned EventsDue = 0;
};

struct Order {
  std::string Server;
  std::string Holder;
  uint64_t Fence = 0;
};

struct PromiseTerms {
  /// The gateways' own settings in the soak: a quarter and a third of the usual
  /// ones, so that a few seconds of failing servers come up against them.
  double RepeatRatio = 0.05;
  double RepeatBase = 10;
  std::chrono::milliseconds RepeatWindow{10000};
  /// How long after a disturbance bounds hold again.
  std::chrono::milliseconds StableWindow{3000};
  /// From a server's leaving to its last request; the platform's 2 s and the
  /// delays of a busy test machine.
  std::chrono::milliseconds DrainBound{2600};
  /// From a configuration's acknowledgement until it is in force; as above.
  std::chrono::milliseconds ConfigurationBound{2600};
  /// After a gateway showed a version, older ones may still be on their way.
  std::chrono::milliseconds RegressionSlack{500};
  std::chrono::milliseconds HolderTurn{3000};
  /// Streams are cut this much before their time is up, at the earliest.
  std::chrono::milliseconds DeadlineMargin{50};
  /// Shares of a grace, the platform's 3 s and five sixths of 8 s: what is sent
  /// before the first, and still runs after the second, may be cut by a stop.
  double EarlyShare = 3.0 / 8;
  double LastShare = 5.0 / 6;
  /// Sends of a request later than the stable window after it has crashed so
  /// many servers, and how many of them are allowed.
  unsigned CrashLimit = 3;
  unsigned SendsAfterCrashes = 3;
  /// Of a limit that a server names: requests in so long may be so many times
  /// what it allows, and some more; of gateways that were told so long ago.
  std::chrono::milliseconds LimitWindow{4000};
  double LimitFactor = 1.5;
  double LimitSlack = 5;
  std::chrono::milliseconds LimitKnown{500};
  /// From SIGHUP until a gateway has read its settings.
  std::chrono::milliseconds ReloadSlack{200};
};

class PromiseBook {
public:
  explicit PromiseBook(PromiseTerms Terms = {}) : m_Terms(Terms) {}

  void sent(const Attempt &What);
  void arrived(const Arrival &What, BootTime Now);
  void ended(const Outcome &What, BootTime Now);
  void ordered(const Order &What, BootTime Now);
  /// A server ended under the attempt.
  void crashed(const std::string &AttemptId, BootTime Now);

  /// The server has named its limit in the answer to the attempt.
  void limitNamed(const std::string &Server, double PerSecond,
                  const std::string &AttemptId, BootTime Now);
  /// It names none any more.
  void limitEnds(const std::string &Server) { m_Limits.erase(Server); }

  /// \name What was done to the system.
  /// @{
  void disturbed(const std::string &Gateway, BootTime Now);
  /// The gateway was asked to read its settings, or started after a stop.
  void planned(const std::string &Gateway, BootTime Now);
  /// It was told to stop at \p Sigterm, and is killed \p Grace later; it may be
  /// told of another grace while it stops.
  void stops(const std::string &Gateway, BootTime Sigterm,
             std::chrono::milliseconds Grace, BootTime Now);
  /// Its process is another one from now on.
  void restarted(const std::string &Gateway);
  void leaves(const std::string &Server, BootTime Now);
  void back(const std::string &Server) { m_Leaving.erase(Server); }
  /// The route that moves with each version goes to \p Service from now on.
  void configured(uint64_t Version, const std::string &Service, BootTime Now);
  /// @}

  /// A process ended by itself, or did not recover: found from outside.
  void broken(std::string What) { m_Broken.push_back(std::move(What)); }
  const std::vector<std::string> &violations() const { return m_Broken; }
  uint64_t count(const std::string &What) const;

  /// In place of a gateway, for disturbances: the store and the network, which
  /// concern all of them, and servers, which only cut what they answer.
  static constexpr const char *Everything = "everything";
  static constexpr const char *Servers = "servers";
  /// Route whose service changes with each version.
  static constexpr const char *MovingService = "moving";

private:
  struct Record {
    Attempt What;
    unsigned Runs = 0;
    bool Read = false;
    bool RunArrived = false;
    /// Answered with a status that promises that nothing ran.
    bool PromisedNotRun = false;
  };
  struct Version {
    uint64_t Number = 0;
    std::string Service;
    BootTime At{};
  };
  struct Stop {
    BootTime At{};
    /// The shortest that it was told of.
    std::chrono::milliseconds Grace{0};
    /// The longest that it may count on.
    std::chrono::milliseconds Believed{0};
    /// It took no request for a longer one after this.
    BootTime GraceKnown{};
  };
  struct Seen {
    uint64_t Number = 0;
    BootTime At{};
  };

  /// Of one request that crashes servers.
  struct Crashes {
    unsigned Servers = 0;
    BootTime Last{};
    unsigned SentAfter = 0;
  };

  /// A limit that a server names now.
  struct Limit {
    double PerSecond = 0;
    BootTime Since{};
    /// By gateway, when it first passed on an answer with the limit.
    std::map<std::string, BootTime> Told;
    std::deque<BootTime> Arrivals;
  };

  using Times = std::map<std::string, BootTime>;
  bool calm(const Times &Of, const std::string &Who, BootTime Now) const;
  bool inTouch(const std::string &Gateway, BootTime Now) const;
  bool outlastsStop(const Attempt &What, BootTime Now);
  void checkLost(const Record &Of, BootTime Now);
  void checkRepeats(const std::string &Service, BootTime Now);
  void checkCrashes(const Record &Of, BootTime Now);
  void checkLimit(const Record &Of, const Arrival &What, BootTime Now);
  void checkDrain(const Record &Of, const Arrival &What, BootTime Now);
  void checkVersion(const Record &Of, const Arrival &What, BootTime Now);
  void checkBody(const Outcome &What);
  void checkEvents(const Outcome &What);

  PromiseTerms m_Terms;
  std::map<std::string, Record> m_Records;
  std::map<std::string, Crashes> m_Crashes;
  std::map<std::string, Limit> m_Limits;
  Times m_Disturbed;
  Times m_Planned;
  std::map<std::string, Stop> m_Stops;
  Times m_Leaving;
  std::deque<Version> m_Versions;
  std::map<std::string, Seen> m_SeenVersions;
  std::map<std::string, std::deque<BootTime>> m_Requests;
  std::map<std::string, std::deque<BootTime>> m_Repeats;
  struct LastOrder {
    Order What;
    BootTime At{};
  };
  std::map<std::string, LastOrder> m_Orders;
  std::map<std::string, uint64_t> m_Counts;
  std::vector<std::string> m_Broken;
};

/// Text of the event with this number of a stream.
std::string eventText(const std::string &AttemptId, unsigned Number);

} // namespace figlift::soak
