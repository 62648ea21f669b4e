//===- ServiceQueue.h - Requests waiting for a plain service ----*- C++ -*-===//
//
// Holds the requests of one gateway to one plain service while all servers of
// the service are full, and decides which request is sent to which server when
// a slot becomes free. Servers reject requests beyond their slots and their own
// queue; each such arrival uses up retry budget, and a request that is refused
// may be one that a slot would have become free for a few milliseconds later.
//
// The queue takes effect only after a server has rejected requests while it was
// occupied. All that is learned from rejections expires, so a server that was
// full once, or is merely slow, does not count as full for ever.
//
// The items at the servers are known from reports of the other gateways, which
// are older than a typical request takes. So a gateway does not rely on free
// slots that it sees: it uses up to its part of the capacity, by its share of
// the demand, and takes only its part of the free slots beyond that.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/LoadTracker.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figlift::dispatch {

/// A server as it appears to this gateway.
struct QueueServer {
  std::string Id;
  unsigned Slots = 1;
  /// Items of all gateways, including this one.
  double Items = 0;
  /// Items of this gateway.
  double OwnItems = 0;
  /// Expected processing time of a request.
  Milliseconds WorkTime{20};
  /// Factor by which the server is less desirable than a sound one.
  double Penalty = 1;
  /// Accepts requests at present. A server that has just rejected one does not.
  bool Open = true;
  /// Neither failing nor unavailable for longer than a rejection lasts. A
  /// request waits only for servers in service.
  bool InService = true;
};

/// All input of a decision other than events.
struct QueueView {
  std::vector<QueueServer> Servers;
  /// Gateways that may be sending to the servers, including this one.
  size_t Gateways = 1;
  /// Reports of all of them arrive. Otherwise the capacity is divided evenly:
  /// a gateway that hears no others would take all of it.
  bool HearsOthers = true;
  /// \name Recent demand on the service, in any unit; 0 if not known.
  /// @{
  double OwnDemand = 0;
  double OthersDemand = 0;
  /// @}
  /// Uniform in [0, 1).
  double Draw = 0;
};

struct QueuedRequest {
  uint64_t Id = 0;
  /// 0 is the most urgent.
  unsigned Priority = 0;
  BootTime Deadline{};
  /// The request is of no use if it is sent later than this.
  BootTime WaitUntil{};
  size_t Bytes = 0;
  /// Servers that the request must not be sent to.
  std::vector<std::string> Excluded;
};

/// \name Actions.
/// @{
struct QueueSend {
  uint64_t Id = 0;
  std::string TargetId;
  Milliseconds Waited{0};
  /// Requests before this one when it left the queue.
  size_t Ahead = 0;
};
struct QueueRefusal {
  uint64_t Id = 0;
  std::string_view Reason;
  std::chrono::milliseconds RetryAfter{0};
  Milliseconds Waited{0};
  /// Requests before this one when it left the queue.
  size_t Ahead = 0;
};
/// @}
using QueueAction = std::variant<QueueSend, QueueRefusal>;

struct ServiceQueueOptions {
  /// The queue holds the slots of all servers divided by the gateways, and at
  /// least this number of requests.
  size_t MinimumRequests = 4;
  size_t MaximumBytes = 1 << 20;
  /// How long a rejection counts as a sign that the server fills up, and an
  /// answer as a sample of its speed. Also the half-life of the observed length
  /// of a server's queue.
  std::chrono::milliseconds ObservationLifetime{5000};
  /// A rejection below this share of occupied slots has another cause than a
  /// full server, for example that the server is starting. Views are old, so
  /// less than all slots may appear occupied at a full server.
  double MinimumOccupancy = 0.5;
  /// Weight of the newest sample in the averages of a server's queue length and
  /// processing time.
  double Smoothing = 0.2;
  /// Age of what is known of the items of other gateways: a report interval in
  /// a fleet of 25 and the delay of a busy event loop.
  std::chrono::milliseconds ViewAge{150};
  /// For this time a gateway keeps or lacks the slot that remains when the
  /// capacity is divided. Shorter than typical requests wait at most.
  std::chrono::milliseconds TurnTime{50};
  /// \name Bounds of Retry-After.
  /// @{
  std::chrono::milliseconds MinimumRetryAfter{200};
  std::chrono::milliseconds MaximumRetryAfter{2000};
  /// @}
};

class ServiceQueue {
public:
  explicit ServiceQueue(ServiceQueueOptions Options = {})
      : m_Options(Options) {}

  /// \name Observations of servers.
  /// @{
  /// The server rejected a request while it had \p Items items, including the
  /// rejected one. Returns whether it counts as a full server's rejection.
  bool recordRejection(const std::string &TargetId, unsigned Slots,
                       double Items, BootTime Now);
  /// The server answered a request after \p Took while it had \p Items items,
  /// including the answered one.
  void recordAnswer(const std::string &TargetId, unsigned Slots, double Items,
                    Milliseconds Took, BootTime Now);
  /// @}

  /// Whether a server has recently rejected requests because it was full. Until
  /// then requests are sent without the queue.
  bool isActive(BootTime Now) const;

  /// A request arrives. The actions may concern it and others.
  std::vector<QueueAction> arrive(QueuedRequest Request, const QueueView &View,
                                  BootTime Now);
  /// A slot may be free, or time has passed.
  std::vector<QueueAction> check(const QueueView &View, BootTime Now);
  /// The request has ended, for example because its caller disconnected.
  /// Returns the number of requests before it; none if it is not waiting.
  std::optional<size_t> leave(uint64_t Id);
  /// Refuses one request, if it is waiting.
  std::vector<QueueAction> refuse(uint64_t Id, std::string_view Reason,
                                  std::chrono::milliseconds RetryAfter,
                                  BootTime Now);
  /// Refuses all requests: the process stops, or the service was removed.
  std::vector<QueueAction> refuseAll(std::string_view Reason,
                                     std::chrono::milliseconds RetryAfter,
                                     BootTime Now);

  size_t size() const { return m_Waiting.size(); }
  size_t bytes() const { return m_Bytes; }
  /// When the next request has to leave the queue; none if none waits.
  std::optional<BootTime> nextLimit() const;
  /// Number of items at which the server counts as full.
  double fullAt(const QueueServer &Server, BootTime Now) const;
  /// Expected time for the answer of a request that is sent to a server that is
  /// almost full.
  Milliseconds expectedAnswerTime(const QueueView &View, BootTime Now) const;
  /// Number of items below that limit, of all servers.
  double freeSlots(const QueueView &View, BootTime Now) const;
  /// Number of requests that the queue holds at most.
  size_t maximumRequests(const QueueView &View) const;
  /// Time until a slot is expected for a request with \p Ahead requests before
  /// it; none if no server is in service.
  std::optional<Milliseconds> expectedWait(size_t Ahead, const QueueView &View,
                                           BootTime Now) const;

private:
  struct Entry {
    QueuedRequest Request;
    BootTime Arrived{};
  };
  /// What is known of a server.
  struct Observation {
    /// Items beyond its slots that the server held at QueueSeen. Decays.
    double Queue = 0;
    BootTime QueueSeen{};
    /// Processing time of a request without the wait in the server's queue.
    std::optional<Milliseconds> WorkTime;
    BootTime LastAnswer{};
    std::optional<BootTime> LastRejection;
  };

  static bool precedes(const Entry &A, const Entry &B);
  bool isRejecting(const Observation &Server, BootTime Now) const;
  double queueOf(const Observation &Server, BootTime Now) const;
  Milliseconds workTime(const QueueServer &Server) const;
  void removeOldObservations(BootTime Now);
  double ownShare(const QueueView &View) const;
  bool isBelowOwnPart(const QueueView &View, BootTime Now) const;
  bool mayTakeFreeSlot(const QueueView &View, BootTime Now);
  double roundInTurn(double Part) const;
  const QueueServer *chooseServer(const QueuedRequest &Request,
                                  const QueueView &View, bool IsOwnPart,
                                  BootTime Now) const;
  void remove(size_t Index);
  std::chrono::milliseconds retryAfter(std::optional<Milliseconds> Wait) const;
  void refuseAt(size_t Index, std::string_view Reason,
                std::chrono::milliseconds RetryAfter, BootTime Now,
                std::vector<QueueAction> &Actions);
  void refuseHopeless(const QueueView &View, BootTime Now,
                      std::vector<QueueAction> &Actions);
  void sendWaiting(QueueView &View, BootTime Now,
                   std::vector<QueueAction> &Actions);

  ServiceQueueOptions m_Options;
  /// In the order of precedes().
  std::vector<Entry> m_Waiting;
  /// Sum of the bytes in m_Waiting.
  size_t m_Bytes = 0;
  std::map<std::string, Observation> m_Servers;
  BootTime m_OldObservationsRemovedAt{};
  /// When this gateway sent requests beyond its part of the capacity, within
  /// the last ViewAge.
  std::vector<BootTime> m_ExtraSends;
  /// \name The current turn, see TurnTime.
  /// @{
  BootTime m_TurnStart{};
  double m_TurnDraw = 0;
  /// @}
};

} // namespace figlift::dispatch
