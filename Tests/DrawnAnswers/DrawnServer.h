//===- DrawnServer.h - A server that draws its answers ----------*- C++ -*-===//
//
// Draws each answer, byte for byte, from all that servers may send: successes,
// rejections, failures whose status looks like a rejection, cuts, bytes that
// are no answer, answers in pieces, ends of the connection, and copies of an
// answer at once, after a while, or where a later answer is expected.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "RunLedger.h"

#include "LibCore/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>
#include <random>
#include <string>

namespace figlift::testing {

/// What a server does with a request, and where it ends.
enum class Reaction {
  Succeed,
  /// States that the request was not run.
  Reject,
  /// Runs the request and answers with a failure.
  Fail,
  /// Breaks off somewhere in the answer, or before it.
  CutOff,
  /// Runs the request and writes bytes that are no answer.
  Garble,
  /// Runs the request and names another one in the answer.
  NameAnother,
};

/// When a second copy of an answer is sent.
enum class CopyTime {
  /// In one segment with the answer.
  AtOnce,
  AfterAWhile,
  /// Before the next answer on the connection.
  BeforeNext,
  /// In one segment with the next answer.
  WithNext,
  /// Before the answer after the next one.
  BeforeSecondNext,
};

/// One exchange as it was drawn.
struct DrawnAnswer {
  Reaction Chosen = Reaction::Succeed;
  bool Runs = true;
  std::string Bytes;
  std::chrono::milliseconds WorkTime{0};
  /// Where the bytes are split into two writes; 0 for one write.
  size_t SplitAt = 0;
  bool ClosesAfter = false;
  bool Resets = false;
  std::optional<CopyTime> Copy;
};

/// Shares of the requests that a server does not simply answer, and its work.
struct DrawnShares {
  double Reject = 0.1;
  double Fail = 0.05;
  double CutOff = 0.03;
  double Garble = 0.01;
  double NameAnother = 0.005;
  /// Share of the answers with a second copy.
  double Copy = 0.15;
  std::chrono::milliseconds MaximumWork{5};
  /// Requests that a plain server runs at once before it rejects others; 0 for
  /// no bound.
  unsigned Slots = 0;
};

class DrawnServer {
public:
  DrawnServer(boost::asio::io_context &Loop, RunLedger &Ledger, uint64_t Seed,
              std::string Stage, DrawnShares Shares);

  Endpoint address() const;

private:
  class Connection;
  void accept();
  DrawnAnswer draw(const std::string &Head);
  std::string success(const std::string &Head, bool IsPrefill);
  std::string failure(const std::string &Head, Reaction Chosen);
  bool drawn(double Share);
  unsigned draw(unsigned Minimum, unsigned Maximum);

  boost::asio::io_context &m_Loop;
  RunLedger &m_Ledger;
  std::mt19937_64 m_Random;
  /// Empty for a plain server.
  const std::string m_Stage;
  const DrawnShares m_Shares;
  unsigned m_Running = 0;
  boost::asio::ip::tcp::acceptor m_Acceptor;
};

/// Value of a header field in a serialized head; empty if there is none.
std::string fieldOf(const std::string &Head, const std::string &Name);

} // namespace figlift::testing
