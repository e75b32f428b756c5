/* Loaded into a node process (LD_PRELOAD): fails some of its system calls and steps its wall clock.

   CORALDEAL_FAULTS  "accept=20,socket=30,recv=15,broken=200": for each kind, one call in this many fails.
   CORALDEAL_CLOCK   "3.0:-390,6.5:3600": steps of the wall clock, as seconds after the start and the offset
                     in seconds from then on.

   accept   fails with ECONNABORTED, EMFILE, ENOBUFS and EINTR in turn
   socket   fails with ENFILE and ENOBUFS in turn, for TCP over IPv4
   connect  fails with ENOBUFS and EADDRNOTAVAIL in turn
   recv     alternately fails with EINTR and reads only one byte
   send     alternately fails with EINTR and writes only half of the data
   broken   a read on a connection that this process opened fails with ETIMEDOUT and EHOSTUNREACH in turn

   Each kind that was forced at least once is appended as one line to the file CORALDEAL_FAULTS_LOG, if set. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

/* Connections with higher descriptors get no BROKEN faults. */
#define MAX_DESCRIPTORS 65536

enum { ACCEPT, SOCKET, CONNECT, RECV, SEND, BROKEN, KINDS };
static const char *const names[KINDS] = {"accept", "socket", "connect", "recv", "send", "broken"};
/* By kind: one call in `interval` fails (0: none does), calls so far, failures so far. */
static long interval[KINDS], calls[KINDS], forced[KINDS];
/* Whether the descriptor is a connection that this process opened. */
static char is_outgoing[MAX_DESCRIPTORS];
/* The monotonic clock at the start of the process, and the value of CORALDEAL_CLOCK. */
static struct timespec started;
static const char *clock_steps;

static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_socket)(int, int, int);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static ssize_t (*real_recv)(int, void *, size_t, int);
static ssize_t (*real_send)(int, const void *, size_t, int);
static int (*real_close)(int);
static int (*real_clock)(clockid_t, struct timespec *);

__attribute__((constructor)) static void initialize(void) {
    real_accept4 = dlsym(RTLD_NEXT, "accept4");
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_recv = dlsym(RTLD_NEXT, "recv");
    real_send = dlsym(RTLD_NEXT, "send");
    real_close = dlsym(RTLD_NEXT, "close");
    real_clock = dlsym(RTLD_NEXT, "clock_gettime");
    clock_steps = getenv("CORALDEAL_CLOCK");
    real_clock(CLOCK_MONOTONIC, &started);
    const char *faults = getenv("CORALDEAL_FAULTS");
    for (int kind = 0; faults && kind < KINDS; kind++) {
        char key[32];
        snprintf(key, sizeof key, "%s=", names[kind]);
        const char *at = strstr(faults, key);
        interval[kind] = at ? atol(at + strlen(key)) : 0;
    }
}

/* Appends the name of a kind to the log of forced faults. */
static void log_kind(int kind) {
    const char *path = getenv("CORALDEAL_FAULTS_LOG");
    int file = path ? open(path, O_WRONLY | O_CREAT | O_APPEND, 0644) : -1;
    if (file < 0)
        return;
    char line[32];
    int length = snprintf(line, sizeof line, "%s\n", names[kind]);
    if (write(file, line, (size_t)length) < 0)
        errno = 0;
    real_close(file);
}

/* Counts a call. Returns 0 if the call is not to fail, else the number of forced failures of its kind so far,
   this one included. */
static long next_fault(int kind) {
    if (!interval[kind] || ++calls[kind] % interval[kind])
        return 0;
    if (!forced[kind]++)
        log_kind(kind);
    return forced[kind];
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, EMFILE, ENOBUFS, EINTR};
    long fault = next_fault(ACCEPT);
    if (fault) {
        errno = errors[fault % 4];
        return -1;
    }
    return real_accept4(fd, address, length, flags);
}

int socket(int family, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS};
    long fault = family == AF_INET && (type & 0xf) == SOCK_STREAM ? next_fault(SOCKET) : 0;
    if (fault) {
        errno = errors[fault % 2];
        return -1;
    }
    return real_socket(family, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {ENOBUFS, EADDRNOTAVAIL};
    long fault = next_fault(CONNECT);
    if (fault) {
        errno = errors[fault % 2];
        return -1;
    }
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        is_outgoing[fd] = 1;
    return real_connect(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH};
    if (flags & MSG_PEEK)
        return real_recv(fd, buffer, length, flags);
    long fault = fd >= 0 && fd < MAX_DESCRIPTORS && is_outgoing[fd] ? next_fault(BROKEN) : 0;
    if (fault) {
        errno = errors[fault % 2];
        return -1;
    }
    fault = next_fault(RECV);
    if (fault % 2) {
        errno = EINTR;
        return -1;
    }
    return real_recv(fd, buffer, fault && length ? 1 : length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    long fault = next_fault(SEND);
    if (fault % 2) {
        errno = EINTR;
        return -1;
    }
    return real_send(fd, buffer, fault && length > 1 ? length / 2 : length, flags);
}

int close(int fd) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        is_outgoing[fd] = 0;
    return real_close(fd);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = real_clock(clock, now);
    if (result || clock != CLOCK_REALTIME || !clock_steps)
        return result;
    struct timespec monotonic;
    real_clock(CLOCK_MONOTONIC, &monotonic);
    double age =
        (double)(monotonic.tv_sec - started.tv_sec) + (double)(monotonic.tv_nsec - started.tv_nsec) / 1e9;
    long offset = 0;
    for (const char *at = clock_steps; at && *at;) {
        char *end;
        double from = strtod(at, &end);
        if (*end != ':')
            break;
        long seconds = strtol(end + 1, &end, 10);
        if (age >= from)
            offset = seconds;
        at = *end == ',' ? end + 1 : NULL;
    }
    now->tv_sec += offset;
    return result;
}
