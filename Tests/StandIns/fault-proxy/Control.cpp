//===- Control.cpp - Control port of the fault proxy ----------------------===//
//
// POST /control/links adds a link, POST /control/links/NAME sets its mode,
// GET /control/links lists them.
//
//===----------------------------------------------------------------------===//

#include "Control.h"

#include "StandInCommon/Duration.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace figlift::standin {

namespace {

const std::map<std::string, LinkMode> Modes{
    {"pass", LinkMode::Pass},
    {"cut", LinkMode::Cut},
    {"refuse", LinkMode::Refuse},
    {"drop-up", LinkMode::DropUp},
    {"drop-down", LinkMode::DropDown},
    {"freeze", LinkMode::Freeze},
    {"delay", LinkMode::Delay},
    {"cut-heads", LinkMode::CutHeads},
    {"break-answers", LinkMode::BreakAnswers}};

std::string nameOf(LinkMode Mode) {
  const auto Found = std::ranges::find_if(
      Modes, [&](const auto &Entry) { return Entry.second == Mode; });
  return Found->first;
}

std::string endpointText(const std::string &Address, uint16_t Port) {
  return Address + ":" + std::to_string(Port);
}

Json describe(const Link &Each) {
  return {{"name", Each.Name},
          {"listen", endpointText(Each.Address, Each.Port)},
          {"target", endpointText(Each.TargetAddress, Each.TargetPort)},
          {"mode", nameOf(Each.Mode)},
          {"connections", Each.Connections.size()},
          {"accepted", Each.Accepted},
          {"bytes_up", Each.BytesUp},
          {"bytes_down", Each.BytesDown}};
}

} // namespace

Control::Control(Poller &Events, Proxy &Controlled, const std::string &Listen)
    : m_Poller(Events), m_Proxy(Controlled) {
  std::tie(m_Address, m_Port) = splitAddress(Listen);
  m_Listener = bindSocket(m_Address, m_Port, true);
  m_Poller.add(m_Listener, EPOLLIN, [this](uint32_t) { accept(); });
}

std::string Control::address() const { return endpointText(m_Address, m_Port); }

void Control::accept() {
  const int Socket = ::accept4(m_Listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (Socket < 0)
    return;
  const auto Input = std::make_shared<std::string>();
  m_Poller.add(Socket, EPOLLIN,
               [this, Socket, Input](uint32_t) { receive(Socket, *Input); });
}

void Control::receive(int Socket, std::string &Input) {
  std::array<char, 4096> Buffer;
  const ssize_t Count = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
  if (Count <= 0)
    return m_Poller.remove(Socket);
  Input.append(Buffer.data(), static_cast<size_t>(Count));
  const auto Received = parse(Input);
  if (!Received)
    return;
  const std::string Output = answer(*Received);
  (void)::send(Socket, Output.data(), Output.size(), MSG_NOSIGNAL);
  m_Poller.remove(Socket);
}

std::optional<Control::Request> Control::parse(const std::string &Input) {
  const size_t HeadEnd = Input.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return std::nullopt;
  std::string Head = Input.substr(0, HeadEnd);
  const size_t MethodEnd = Head.find(' ');
  const size_t PathEnd = Head.find(' ', MethodEnd + 1);
  Request Received;
  Received.Method = Head.substr(0, MethodEnd);
  Received.Path = Head.substr(MethodEnd + 1, PathEnd - MethodEnd - 1);
  std::ranges::transform(Head, Head.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  const std::string LengthName = "\r\ncontent-length:";
  size_t Length = 0;
  if (const size_t Found = Head.find(LengthName); Found != std::string::npos)
    Length =
        std::strtoul(Head.c_str() + Found + LengthName.size(), nullptr, 10);
  Received.Body = Input.substr(HeadEnd + 4);
  if (Received.Body.size() < Length)
    return std::nullopt;
  return Received;
}

std::string Control::answer(const Request &Received) {
  int Status = 200;
  Json Body;
  try {
    Body = serve(Received, Status);
  } catch (const std::exception &Problem) {
    Status = 400;
    Body = {{"error", Problem.what()}};
  }
  const std::string Text = Body.dump();
  return "HTTP/1.1 " + std::to_string(Status) +
         (Status == 200 ? " OK" : " Error") +
         "\r\nContent-Type: application/json\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(Text.size()) + "\r\n\r\n" + Text;
}

Json Control::serve(const Request &Received, int &Status) {
  const std::string Links = "/control/links";
  const bool IsPost = Received.Method == "POST";
  if (Received.Path == Links && !IsPost) {
    Json All = Json::array();
    for (const auto &[Name, Each] : m_Proxy.links())
      All.push_back(describe(Each));
    return {{"links", All}};
  }
  if (Received.Path == Links) {
    const Json Body = Json::parse(Received.Body);
    return describe(m_Proxy.addLink(Body.at("name"),
                                    Body.value("listen", "127.0.0.1:0"),
                                    Body.at("target")));
  }
  if (Received.Path.starts_with(Links + "/") && IsPost)
    return changeLink(Received.Path.substr(Links.size() + 1),
                      Json::parse(Received.Body));
  Status = 404;
  return {{"error", "not found"}};
}

Json Control::changeLink(const std::string &Name, const Json &Body) {
  Link *const Found = m_Proxy.find(Name);
  if (!Found)
    throw std::runtime_error("no link " + Name);
  const auto Mode = Modes.at(Body.at("mode").get<std::string>());
  const auto Delay = durationOr(Body, "delay", std::chrono::milliseconds(50));
  m_Proxy.setMode(*Found, Mode,
                  std::chrono::duration_cast<std::chrono::milliseconds>(Delay));
  return describe(*Found);
}

} // namespace figlift::standin
