//===- Main.cpp - Command line and loop of fault-proxy --------------------===//
//
// Reads the links from the flags, then turns the event loop.
//
//===----------------------------------------------------------------------===//

#include "Control.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>

using namespace figlift::standin;

namespace {

volatile std::sig_atomic_t StopRequested = 0;

void requestStop(int) { StopRequested = 1; }

/// "name=listenip:port>targetip:port"
void addLinkFromFlag(Proxy &Links, const std::string &Text) {
  const size_t Equals = Text.find('=');
  const size_t Arrow = Text.find('>', Equals);
  if (Equals == std::string::npos || Arrow == std::string::npos)
    throw std::invalid_argument("no link: " + Text);
  const Link &Added = Links.addLink(Text.substr(0, Equals),
                                    Text.substr(Equals + 1, Arrow - Equals - 1),
                                    Text.substr(Arrow + 1));
  std::printf("link %s %s:%u\n", Added.Name.c_str(), Added.Address.c_str(),
              Added.Port);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("fault-proxy");
  auto Add = Options.add_options();
  Add("control", "",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  Add("link", "", cxxopts::value<std::vector<std::string>>());
  Add("reset", "reset connections that break, instead of closing them");
  const auto Flags = Options.parse(ArgumentCount, Arguments);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, requestStop);
  std::signal(SIGINT, requestStop);
  try {
    Poller Events;
    Proxy Links(Events, Flags.count("reset") ? Proxy::Break::Reset
                                             : Proxy::Break::Close);
    const Control Commands(Events, Links, Flags["control"].as<std::string>());
    if (Flags.count("link"))
      for (const auto &Text : Flags["link"].as<std::vector<std::string>>())
        addLinkFromFlag(Links, Text);
    std::printf("listening %s\n", Commands.address().c_str());
    std::fflush(stdout);
    while (!StopRequested) {
      Events.poll(Links.nextDue());
      Links.tick();
    }
  } catch (const std::exception &Problem) {
    std::fprintf(stderr, "%s\n", Problem.what());
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
