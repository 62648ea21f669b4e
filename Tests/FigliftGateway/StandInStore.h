//===- StandInStore.h - Listener and store of the platform ------*- C++ -*-===//
//
// A listener whose behaviour a test sets, and on it a stand-in of the
// platform's store: rows, watches, transactions, and the ways in which it
// misbehaves. Both run on the test's loop.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibProxy/CallerConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figlift::testing {

using Caller = std::shared_ptr<proxy::CallerConnection>;

/// Accepts connections at a free port and hands requests to a function.
class Listener : public proxy::RequestHandler {
public:
  using Behaviour = std::function<void(const proxy::Request &, Caller)>;

  /// \p Port 0: any free one.
  Listener(boost::asio::io_context &Loop, Behaviour Act, uint16_t Port = 0);

  Endpoint address() const { return m_Address; }
  void breakConnections();
  /// Ends as a killed process does: all connections break, and nobody listens.
  void crash();
  void behave(Behaviour Act) { m_Act = std::move(Act); }
  const Behaviour &behaviour() const { return m_Act; }
  std::vector<proxy::Request> Requests;
  /// Answer to a question for the parts in its KV cache; such questions are
  /// counted apart from requests.
  std::string CacheList = R"({"epoch":"a","next":0,"held":[]})";
  int CacheListsAsked = 0;
  /// Requests whose caller left before the answer.
  int Abandoned = 0;

  std::shared_ptr<proxy::ActiveRequest> handle(proxy::Request What,
                                               Caller From) override;
  proxy::ErrorResponse rejected(unsigned Status) override {
    return proxy::errorResponse(Status);
  }
  void closed(proxy::CallerConnection &From) override {
    m_Connections.erase(&From);
  }

private:
  class Process;
  void accept();

  boost::asio::ip::tcp::acceptor m_Acceptor;
  Endpoint m_Address;
  Behaviour m_Act;
  std::set<proxy::CallerConnection *> m_Connections;
};

/// Rows of the platform's store.
class StandInStore {
public:
  explicit StandInStore(boost::asio::io_context &Loop);

  Endpoint address() const { return m_Listener.address(); }
  uint64_t version() const { return m_Version; }
  uint64_t era() const { return m_Era; }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  /// Empty if there is no such row.
  std::string value(const std::string &Table, const std::string &Key) {
    return m_Tables[Table][Key].Value;
  }
  std::vector<std::string> keys(const std::string &Table) const;
  /// Keeps a copy of all rows as they are.
  void copy() { m_Copy = {m_Tables, m_Version}; }
  /// All that was written since copy() is gone; versions count on from there,
  /// in the next era.
  void comeBackFromCopy();
  /// \name How it misbehaves, until told otherwise.
  /// @{
  /// Turns every call away.
  bool Away = false;
  /// Takes calls and never answers.
  bool Silent = false;
  /// Answers up to twice this much later, so that answers overtake each other.
  std::chrono::milliseconds Delay{0};
  /// Does what it is told and breaks the connection instead of answering, for
  /// this share of the calls.
  double LosesAnswers = 0;
  /// What its answers pass through carries this much; 0 is no bound.
  size_t BytesPerSecond = 0;
  /// A large answer stops for this long in its middle.
  std::chrono::milliseconds Pause{0};
  /// Knows no history: watches are told to read anew.
  bool Forgetful = false;
  /// @}
  /// Answers to reads and watches, begun or whole.
  int Answers = 0;

private:
  struct Row {
    std::string Value;
    uint64_t Version = 0;
    bool Removed = false;
  };
  using Tables = std::map<std::string, std::map<std::string, Row>>;
  struct Write {
    std::string Table;
    std::string Key;
    Row Written;
  };

  void handle(const proxy::Request &What, const Caller &From);
  void serve(const proxy::Request &What, const Caller &From);
  void reply(const Caller &To, unsigned Status, const std::string &Body);
  proxy::ResponseHead head(unsigned Status) const;
  void respond(const Caller &To, unsigned Status, const std::string &Body) {
    To->respond(head(Status), Body);
  }
  /// An answer on its way through a small link.
  struct Trickle {
    Caller To;
    std::string Body;
    size_t Sent = 0;
    std::chrono::steady_clock::time_point Begun;
    bool Stopped = false;
  };
  void trickle(const std::shared_ptr<Trickle> &What);
  void after(std::chrono::milliseconds Time, std::function<void()> Then);
  void watch(const Caller &From, const std::string &Table, uint64_t After,
             std::chrono::milliseconds Left);
  void write(const std::string &Table, const std::string &Key, Row Written);
  /// The rows that there are.
  std::string rows(const std::string &Table);
  /// Each write after a version, in order, those that others followed too.
  std::string changes(const std::string &Table, uint64_t After);
  std::string body(const nlohmann::json &Rows) const;
  void transact(const proxy::Request &What, const Caller &From);

  boost::asio::io_context &m_Loop;
  Listener m_Listener;
  Tables m_Tables;
  std::vector<Write> m_History;
  uint64_t m_Version = 0;
  uint64_t m_Era = 1;
  std::pair<Tables, uint64_t> m_Copy;
};

} // namespace figlift::testing
