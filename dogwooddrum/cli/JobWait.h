/** \file
 * Defines functions that print jobs and wait for them.
 */
#pragma once

#include "dogwooddrum/cli/Command.h"

#include <cstdint>
#include <string>

namespace dogwooddrum::cli {

/** Prints the job in the JSON text aBody, as JSON or as a table. */
void
PrintJob(const std::string& aBody, bool aJson);

/** Prints the job list in the JSON text aBody, as JSON or as a table. */
void
PrintJobs(const std::string& aBody, bool aJson);

/** Returns the checksum of aBytes as 16 hexadecimal digits, the format of the
 * answer's checksum header. */
std::string
ChecksumText(std::string_view aBytes);

/**
 * Polls a job until it ends or aWaitMs have passed. Shows progress on standard
 * error and prints the last received state. Returns Ok for a finished job,
 * Failed for a failed or cancelled job or a refused poll, TimedOut, or NoAnswer
 * if no entry responded.
 */
ExitCode
WaitForJob(Session& aSession,
           std::uint64_t aJob,
           std::uint64_t aWaitMs,
           bool aJson);

} // namespace dogwooddrum::cli
