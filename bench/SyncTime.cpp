// Measures appends of 512 bytes with fdatasync in a folder and prints the
// median and p99 of their time in milliseconds. Usage: SyncTime FOLDER COUNT
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <vector>

int
main(int aCount, char** aArguments)
{
  const long count = aCount == 3 ? std::strtol(aArguments[2], nullptr, 10) : 0;
  if (count < 1 || count > 100000) {
    std::fprintf(stderr, "usage: SyncTime FOLDER COUNT (1 to 100000)\n");
    return 2;
  }
  const std::string file =
    std::string(aArguments[1]) + "/sync-time." + std::to_string(::getpid());
  const int fd =
    ::open(file.c_str(), O_CREAT | O_EXCL | O_WRONLY | O_CLOEXEC, 0600);
  if (fd < 0) {
    std::perror(file.c_str());
    return 1;
  }
  const std::array<char, 512> record{};
  std::vector<double> times;
  times.reserve(static_cast<std::size_t>(count));
  bool failed = false;
  for (long i = 0; i < count && !failed; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    failed = ::write(fd, record.data(), record.size()) !=
               static_cast<ssize_t>(record.size()) ||
             ::fdatasync(fd) != 0;
    const std::chrono::duration<double, std::milli> time =
      std::chrono::steady_clock::now() - begin;
    times.push_back(time.count());
  }
  if (failed) {
    std::perror(file.c_str());
  }
  ::close(fd);
  ::unlink(file.c_str());
  std::sort(times.begin(), times.end());
  std::printf("sync_ms_p50=%.3f sync_ms_p99=%.3f\n",
              times[times.size() / 2],
              times[times.size() * 99 / 100]);
  return failed ? 1 : 0;
}
