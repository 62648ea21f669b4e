//===- DrawnServer.cpp - A server that draws its answers ------------------===//
//
// Requests have no bodies. All draws of a request are made when it arrives.
//
//===----------------------------------------------------------------------===//

#include "DrawnServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <vector>

namespace figlift::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

namespace {

constexpr unsigned LastEvent = 4;

std::string message(unsigned Status, const std::string &Fields,
                    const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Any\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string nameOf(const std::string &Head) {
  return "X-Attempt-Id: " + fieldOf(Head, "X-Attempt-Id") + "\r\n";
}

} // namespace

std::string fieldOf(const std::string &Head, const std::string &Name) {
  const size_t Begin = Head.find("\r\n" + Name + ": ");
  if (Begin == std::string::npos)
    return {};
  const size_t Value = Begin + Name.size() + 4;
  return Head.substr(Value, Head.find("\r\n", Value) - Value);
}

class DrawnServer::Connection
    : public std::enable_shared_from_this<Connection> {
public:
  Connection(DrawnServer &Owner, tcp::socket Socket)
      : m_Owner(Owner), m_Socket(std::move(Socket)) {}

  void read() {
    asio::async_read_until(
        m_Socket, asio::dynamic_buffer(m_Input), "\r\n\r\n",
        [Self = shared_from_this()](const ErrorCode &Code, size_t Size) {
          if (Code)
            return Self->close(false);
          const std::string Head = Self->m_Input.substr(0, Size);
          Self->m_Input.erase(0, Size);
          Self->serve(Head);
        });
  }

private:
  struct Copy {
    unsigned AnswersBefore = 0;
    bool InOneSegment = false;
    std::string Bytes;
  };

  void serve(const std::string &Head) {
    DrawnAnswer Answer = m_Owner.draw(Head);
    if (Answer.Runs)
      m_Owner.m_Ledger.recordRun(fieldOf(Head, "X-Attempt-Id"));
    std::string Before;
    for (Copy &Late : m_Copies) {
      if (Late.AnswersBefore-- > 0)
        continue;
      if (Late.InOneSegment)
        Before += Late.Bytes;
      else
        write(Late.Bytes);
    }
    std::erase_if(m_Copies, [](const Copy &Late) {
      return Late.AnswersBefore == static_cast<unsigned>(-1);
    });
    keepCopy(Answer);
    Answer.Bytes.insert(0, Before);
    m_Owner.m_Running += Answer.Runs ? 1 : 0;
    after(Answer.WorkTime, [this, Answer] {
      m_Owner.m_Running -= Answer.Runs ? 1 : 0;
      answer(Answer);
    });
  }

  void keepCopy(const DrawnAnswer &Answer) {
    if (!Answer.Copy)
      return;
    switch (*Answer.Copy) {
    case CopyTime::AtOnce:
    case CopyTime::AfterAWhile:
      return;
    case CopyTime::BeforeNext:
      return m_Copies.push_back({0, false, Answer.Bytes});
    case CopyTime::WithNext:
      return m_Copies.push_back({0, true, Answer.Bytes});
    case CopyTime::BeforeSecondNext:
      return m_Copies.push_back({1, false, Answer.Bytes});
    }
  }

  void answer(const DrawnAnswer &Answer) {
    std::string Bytes = Answer.Bytes;
    if (Answer.Copy == CopyTime::AtOnce)
      Bytes += Answer.Bytes;
    const size_t First = Answer.SplitAt == 0 ? Bytes.size() : Answer.SplitAt;
    m_IsInsideAnswer = true;
    write(Bytes.substr(0, First));
    if (First >= Bytes.size())
      return answered(Answer);
    after(milliseconds(2), [this, Answer, Rest = Bytes.substr(First)] {
      write(Rest);
      answered(Answer);
    });
  }

  /// A copy never stands inside another answer.
  void writeCopy(const std::string &Bytes) {
    if (m_IsInsideAnswer)
      m_AfterAnswer += Bytes;
    else
      write(Bytes);
  }
  void answered(const DrawnAnswer &Answer) {
    m_IsInsideAnswer = false;
    write(std::exchange(m_AfterAnswer, {}));
    if (Answer.Copy == CopyTime::AfterAWhile)
      after(milliseconds(m_Owner.draw(0U, 6U)),
            [this, Bytes = Answer.Bytes] { writeCopy(Bytes); });
    if (Answer.ClosesAfter || Answer.Resets)
      // The delay lets the bytes arrive before a reset.
      return after(milliseconds(2),
                   [this, Resets = Answer.Resets] { close(Resets); });
    read();
  }

  void after(milliseconds Delay, std::function<void()> Action) {
    auto Timer = std::make_shared<asio::steady_timer>(m_Owner.m_Loop, Delay);
    Timer->async_wait(
        [Self = shared_from_this(), Timer,
         Action = std::move(Action)](const ErrorCode &) { Action(); });
  }

  void write(const std::string &Bytes) {
    m_Output += Bytes;
    if (!m_IsWriting)
      flush();
  }
  void flush() {
    if (m_Output.empty())
      return;
    m_IsWriting = true;
    auto Bytes = std::make_shared<std::string>(std::exchange(m_Output, {}));
    asio::async_write(
        m_Socket, asio::buffer(*Bytes),
        [Self = shared_from_this(), Bytes](const ErrorCode &Code, size_t) {
          Self->m_IsWriting = false;
          if (!Code)
            Self->flush();
        });
  }
  void close(bool Resets) {
    ErrorCode Ignored; // The peer may have closed the connection already.
    if (Resets)
      m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    m_Socket.close(Ignored);
  }

  DrawnServer &m_Owner;
  tcp::socket m_Socket;
  std::string m_Input;
  std::string m_Output;
  bool m_IsWriting = false;
  bool m_IsInsideAnswer = false;
  /// Copies that came due during an answer.
  std::string m_AfterAnswer;
  std::vector<Copy> m_Copies;
};

DrawnServer::DrawnServer(asio::io_context &Loop, RunLedger &Ledger,
                         uint64_t Seed, std::string Stage, DrawnShares Shares)
    : m_Loop(Loop), m_Ledger(Ledger), m_Random(Seed), m_Stage(std::move(Stage)),
      m_Shares(Shares),
      m_Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}) {
  accept();
}

Endpoint DrawnServer::address() const {
  return {"127.0.0.1", m_Acceptor.local_endpoint().port()};
}

void DrawnServer::accept() {
  m_Acceptor.async_accept([this](const ErrorCode &Code, tcp::socket Socket) {
    if (Code)
      return;
    std::make_shared<Connection>(*this, std::move(Socket))->read();
    accept();
  });
}

bool DrawnServer::drawn(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(m_Random) < Share;
}

unsigned DrawnServer::draw(unsigned Minimum, unsigned Maximum) {
  return std::uniform_int_distribution<unsigned>(Minimum, Maximum)(m_Random);
}

std::string DrawnServer::success(const std::string &Head, bool IsPrefill) {
  const std::string Id = fieldOf(Head, "X-Attempt-Id");
  if (IsPrefill)
    return message(200, nameOf(Head),
                   R"({"kvHandle":"h)" + Id +
                       R"(","tokens":4000,"version":1})");
  const std::string Fields = nameOf(Head) + "X-Response-Signature: s\r\n";
  if (m_Stage.empty())
    return message(200, Fields, "result of " + Id);
  const std::string Resumed = fieldOf(Head, "Last-Event-Id");
  std::string Events;
  for (unsigned I = Resumed.empty() ? 1 : std::stoul(Resumed) + 1;
       I <= LastEvent; ++I)
    Events += "id: " + std::to_string(I) + "\ndata: " + Id + "\n\n";
  return message(200, Fields + "Content-Type: text/event-stream\r\n", Events);
}

std::string DrawnServer::failure(const std::string &Head, Reaction Chosen) {
  constexpr std::array RejectedWith = {503U, 503U, 503U, 429U, 421U, 400U};
  constexpr std::array FailedWith = {500U, 500U, 503U, 429U, 408U, 504U};
  std::string Fields = nameOf(Head);
  if (Chosen == Reaction::Reject) {
    const unsigned Status = RejectedWith[draw(0U, RejectedWith.size() - 1)];
    if (Status != 421 || drawn(0.5))
      Fields += "X-Not-Executed: 1\r\n";
    return message(Status, Fields, "");
  }
  if (drawn(0.75))
    Fields += "X-Response-Signature: s\r\n";
  return message(FailedWith[draw(0U, FailedWith.size() - 1)], Fields, "sorry");
}

DrawnAnswer DrawnServer::draw(const std::string &Head) {
  DrawnAnswer Answer;
  if (fieldOf(Head, "X-Attempt-Id").empty()) {
    Answer.Runs = false;
    const bool IsList = Head.find("/v1/kv-list") != std::string::npos;
    Answer.Bytes = Head.starts_with("POST /v1/order")
                       ? message(409, "", "")
                       : message(200, "",
                                 IsList ? R"({"epoch":"a","next":0,"held":[]})"
                                        : R"({"stage":")" + m_Stage + R"("})");
    return Answer;
  }
  const bool IsPrefill = fieldOf(Head, "X-Stage") == "prefill";
  const double Choice = std::uniform_real_distribution<double>(0, 1)(m_Random);
  double Sum = 0;
  const auto Falls = [&](double Share) { return Choice < (Sum += Share); };
  const bool IsFull =
      m_Stage.empty() && m_Shares.Slots > 0 && m_Running >= m_Shares.Slots;
  if (IsFull || Falls(m_Shares.Reject))
    Answer.Chosen = Reaction::Reject;
  else if (Falls(m_Shares.Fail))
    Answer.Chosen = Reaction::Fail;
  else if (Falls(m_Shares.CutOff))
    Answer.Chosen = Reaction::CutOff;
  else if (Falls(m_Shares.Garble))
    Answer.Chosen = Reaction::Garble;
  else if (Falls(m_Shares.NameAnother))
    Answer.Chosen = Reaction::NameAnother;
  Answer.Runs = !IsPrefill && Answer.Chosen != Reaction::Reject &&
                (Answer.Chosen != Reaction::CutOff || drawn(0.7));
  if (Answer.Chosen != Reaction::Reject)
    Answer.WorkTime = milliseconds(
        draw(0U, static_cast<unsigned>(m_Shares.MaximumWork.count())));
  if (Answer.Chosen == Reaction::Garble)
    Answer.Bytes = "garbled bytes\r\n\r\n";
  else if (Answer.Chosen == Reaction::NameAnother)
    Answer.Bytes = success("\r\nX-Attempt-Id: another-" +
                               fieldOf(Head, "X-Attempt-Id") + "\r\n",
                           IsPrefill);
  else if (Answer.Chosen == Reaction::Reject || Answer.Chosen == Reaction::Fail)
    Answer.Bytes = failure(Head, Answer.Chosen);
  else
    Answer.Bytes = success(Head, IsPrefill);
  if (Answer.Chosen == Reaction::CutOff) {
    Answer.Bytes.resize(
        draw(0U, static_cast<unsigned>(Answer.Bytes.size()) - 1));
    Answer.Resets = drawn(0.5);
    Answer.ClosesAfter = !Answer.Resets;
    return Answer;
  }
  if (drawn(0.2))
    Answer.SplitAt = draw(1U, static_cast<unsigned>(Answer.Bytes.size()) - 1);
  Answer.ClosesAfter = drawn(0.05);
  if (drawn(m_Shares.Copy))
    Answer.Copy = static_cast<CopyTime>(
        draw(0U, static_cast<unsigned>(CopyTime::BeforeSecondNext)));
  return Answer;
}

} // namespace figlift::testing
