//===- Proxy.h - TCP links with faults --------------------------*- C++ -*-===//
//
// Forwards the bytes of each link between callers and a target and disturbs
// them by the link's mode. One thread, one epoll set.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figlift::standin {

enum class LinkMode {
  Pass,
  /// Closes all connections and refuses new ones.
  Cut,
  /// Refuses new connections only.
  Refuse,
  /// Throws away what callers send.
  DropUp,
  /// Throws away what the target sends.
  DropDown,
  /// Holds all bytes; connections stay open.
  Freeze,
  Delay,
  /// Ends connections, in order, inside the heads of what targets answer: at
  /// one byte after the other.
  CutHeads,
  /// Answers long uploads at once with a part of an answer without a length,
  /// and resets. Every second answer of targets gets a status that is none.
  BreakAnswers
};

/// File descriptor set with callbacks, level-triggered.
class Poller {
public:
  using Callback = std::function<void(uint32_t Events)>;

  Poller();
  void add(int Descriptor, uint32_t Events, Callback Ready);
  void change(int Descriptor, uint32_t Events);
  /// Reports nothing more about \p Descriptor, and keeps it open.
  void mute(int Descriptor);
  /// Forgets and closes \p Descriptor.
  void remove(int Descriptor);
  /// Runs the callbacks of what is ready within \p Timeout.
  void poll(std::chrono::milliseconds Timeout);

private:
  struct Entry {
    uint32_t Events = 0;
    std::shared_ptr<Callback> Ready;
  };

  int m_Epoll;
  std::map<int, Entry> m_Entries;
};

/// One direction of a connection.
struct Flow {
  struct Piece {
    std::chrono::steady_clock::time_point Due;
    std::string Bytes;
  };
  std::deque<Piece> Pieces;
  size_t HeldBytes = 0;
  bool SourceEnded = false;
  bool EndForwarded = false;
};

struct Connection {
  int Client = -1;
  int Target = -1;
  bool Connecting = true;
  bool Closed = false;
  /// Bytes were thrown away. TCP never shows a gap, so such a connection must
  /// end, and not go on, when the link is mended.
  bool Torn = false;
  Flow Up;
  Flow Down;
};

struct Link {
  std::string Name;
  std::string Address;
  uint16_t Port = 0;
  std::string TargetAddress;
  uint16_t TargetPort = 0;
  int Listener = -1;
  LinkMode Mode = LinkMode::Pass;
  std::chrono::milliseconds Delay{0};
  uint64_t Accepted = 0;
  uint64_t CutHeads = 0;
  uint64_t Answers = 0;
  uint64_t BytesUp = 0;
  uint64_t BytesDown = 0;
  std::vector<std::shared_ptr<Connection>> Connections;
};

class Proxy {
public:
  /// What a connection that breaks looks like to both sides.
  enum class Break { Close, Reset };

  Proxy(Poller &Events, Break BreakKind)
      : m_Poller(Events), m_BreakKind(BreakKind) {}

  /// Throws std::runtime_error when the address cannot be bound.
  Link &addLink(const std::string &Name, const std::string &Listen,
                const std::string &Target);
  void setMode(Link &Changed, LinkMode Mode, std::chrono::milliseconds Delay);
  Link *find(const std::string &Name);
  const std::map<std::string, Link> &links() const { return m_Links; }
  /// Delivers delayed bytes that are due and forgets closed connections.
  void tick();
  /// Time until the next delayed bytes are due, at most a second.
  std::chrono::milliseconds nextDue() const;

private:
  void bindListener(Link &Bound, bool Listening);
  void accept(Link &From);
  void ready(Link &Of, const std::shared_ptr<Connection> &Which, bool IsClient,
             uint32_t Events);
  void receive(Link &Of, Connection &Which, bool Upward);
  static void cutHead(Link &Of, Flow &Direction, std::string &Bytes);
  static void breakStatus(Link &Of, std::string &Bytes);
  bool breakUpload(Connection &Which, const std::string &Bytes);
  void deliver(Link &Of, Connection &Which, bool Upward);
  void updateInterest(const Link &Of, Connection &Which);
  void close(Connection &Which);

  Poller &m_Poller;
  const Break m_BreakKind;
  std::map<std::string, Link> m_Links;
};

/// Splits "ip:port". Throws std::invalid_argument.
std::pair<std::string, uint16_t> splitAddress(const std::string &Text);

/// A non-blocking socket bound to the address, listening if asked for.
/// Replaces port 0 by the port it got. Throws std::runtime_error.
int bindSocket(const std::string &Address, uint16_t &Port, bool Listening);

} // namespace figlift::standin
