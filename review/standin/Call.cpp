// review-call: sends one HTTP request and prints the status and the body.
// Usage: review-call METHOD ADDRESS PATH [HOST [KEY [BODY_FILE]]]
#include "dogwooddrum/transport/Address.h"
#include "dogwooddrum/transport/HttpClient.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

int
main(int aCount, char** aArguments)
{
  using namespace dogwooddrum;
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  const auto address = arguments.size() < 3
                         ? base::Outcome<transport::Address>(base::Failure{})
                         : transport::ParseAddress(arguments[1]);
  if (!address) {
    std::cerr << "usage: review-call METHOD ADDRESS PATH "
                 "[HOST [KEY [BODY_FILE]]]\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  transport::HttpRequest request;
  request.mMethod = arguments[0];
  request.mTarget = arguments[2];
  if (arguments.size() > 3 && !arguments[3].empty()) {
    request.mHeaders["Host"] = arguments[3];
  }
  if (arguments.size() > 4 && !arguments[4].empty()) {
    request.mHeaders["Api-Key"] = arguments[4];
  }
  if (arguments.size() > 5) {
    std::ifstream file(arguments[5]);
    request.mBody.assign(std::istreambuf_iterator<char>(file), {});
  }
  request.mHeaders["Dogwooddrum-Deadline-Ms"] = "3000";
  transport::HttpClientOptions options;
  options.mIp = address->mHost;
  options.mPort = address->mPort;
  transport::HttpClient client(options);
  const auto outcome = client.Call(request, base::Milliseconds(3000));
  if (!outcome) {
    std::cout << "none " << outcome.LastFailure().mMessage << "\n";
    return 1;
  }
  std::cout << outcome->mStatus << " " << outcome->mBody << "\n";
  return 0;
}
