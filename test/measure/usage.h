// Resource usage of processes, from /proc.
#pragma once

#include <unistd.h>

#include <fstream>
#include <string>

struct Usage {
	double processor_s = 0; // user and system time
	double resident_bytes = 0;
	double control_bytes = 0; // counter control_spent of the nodes; not from /proc
};

// Adds the processor time and the resident memory of a process.
inline void add_process(pid_t id, Usage &usage)
{
	std::ifstream stat("/proc/" + std::to_string(id) + "/stat");
	std::ifstream statm("/proc/" + std::to_string(id) + "/statm");
	std::string field;
	double pages = 0;
	const int user_time_field = 14; // of /proc/PID/stat; the system time follows

	for (int i = 1; i < user_time_field; i++)
		stat >> field;
	for (int i = 0; i < 2; i++) {
		stat >> field;
		usage.processor_s += std::stod(field) / (double)sysconf(_SC_CLK_TCK);
	}
	statm >> field >> pages;
	usage.resident_bytes += pages * (double)sysconf(_SC_PAGESIZE);
}
