//===- UnconfirmedAnswers.h - Answers a server may not survive --*- C++ -*-===//
//
// A server that crashes may end its answer in a way that looks complete, most
// easily where an answer has neither a length nor chunks and ends with its
// connection. Such an answer says that its server survived the request only
// when the server has been heard of some time afterwards. If the server crashes
// instead, the request is a possible cause, however its answer ended.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/RequestCauses.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figlift::dispatch {

struct UnconfirmedAnswer {
  RequestCauses Causes;
  BootTime SentAt{};
  /// When the server began to write.
  BootTime BeganAt{};
  BootTime CompletedAt{};
  /// The answer has neither a length nor chunks.
  bool EndedWithConnection = false;
};

class UnconfirmedAnswers {
public:
  void add(const ServerStart &Server, UnconfirmedAnswer Answer);
  /// The server has sent something. Returns the answers that it has survived.
  std::vector<UnconfirmedAnswer> confirm(const ServerStart &Server,
                                         BootTime Now);
  /// The server crashed at \p CrashedAt. Returns the answers that may have been
  /// the last ones, and forgets the others.
  std::vector<UnconfirmedAnswer> takeLast(const ServerStart &Server,
                                          BootTime CrashedAt);
  struct Last {
    ServerStart Server;
    BootTime CompletedAt{};
  };
  /// The last answer of the latest start of the server; empty without one.
  std::optional<Last> last(const std::string &TargetId) const;
  /// Forgets the answers of all starts of the server.
  void remove(const std::string &TargetId);
  /// Takes the answers that were completed before \p Time.
  std::vector<UnconfirmedAnswer> takeBefore(BootTime Time);
  bool empty() const { return m_Answers.empty(); }

private:
  /// Several times as long as servers take to crash once they begin to write.
  static constexpr std::chrono::milliseconds ConfirmationDelay{300};
  static constexpr size_t MaximumPerServer = 128;

  /// The answers of a server are in the order of completion.
  using Answers = std::map<ServerStart, std::deque<UnconfirmedAnswer>>;

  /// Moves the answers of one server that were completed before \p Time.
  static void takeBefore(std::deque<UnconfirmedAnswer> &From, BootTime Time,
                         std::vector<UnconfirmedAnswer> &To);

  Answers::const_iterator afterAllStarts(const std::string &TargetId) const;

  Answers m_Answers;
};

} // namespace figlift::dispatch
