/*
 * Loader of the one-file program.
 *
 * The file is this loader, followed by a gzip-compressed tar archive of the
 * program's folder, followed by a trailer of TRAILER_BYTES:
 *
 *     magic (8 bytes) | build id (16 hex digits) | archive size (16 hex digits)
 *
 * The loader unpacks the archive once per build into a memory file system and
 * replaces itself with the program by exec, so that no second process exists.
 */

#define _GNU_SOURCE

#include <archive.h>
#include <archive_entry.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <sys/vfs.h>
#include <unistd.h>

#define MAGIC "BURDOCK1"
#define MAGIC_BYTES 8
#define NUMBER_BYTES 16
#define TRAILER_BYTES (MAGIC_BYTES + 2 * NUMBER_BYTES)
#define PROGRAM "burdockcart/burdockcart"
#define TMPFS_TYPE 0x01021994L
#define RAMFS_TYPE 0x858458f6L
#define COPY_BYTES 65536
#define MAX_OPEN_FOLDERS 16
#define EXIT_LOADER 70 /* EX_SOFTWARE of sysexits.h */

static void fail(const char *what, const char *path)
{
    fprintf(stderr, "burdockcart: %s: %s: %s\n", what, path,
            errno ? strerror(errno) : "invalid file");
    exit(EXIT_LOADER);
}

/* Returns whether the path is a writable memory file system that may hold
 * programs. */
static int is_memory_folder(const char *path)
{
    struct statfs type;
    struct statvfs flags;

    if (!path || statfs(path, &type) || statvfs(path, &flags))
        return 0;
    if (type.f_type != TMPFS_TYPE && type.f_type != RAMFS_TYPE)
        return 0;
    return !(flags.f_flag & (ST_NOEXEC | ST_RDONLY)) && !access(path, W_OK);
}

static const char *unpack_folder(void)
{
    const char *chosen = getenv("BURDOCKCART_UNPACK_DIR");
    const char *candidates[] = {getenv("XDG_RUNTIME_DIR"), "/run", "/tmp"};
    size_t index;

    if (chosen)
        return chosen;
    for (index = 0; index < sizeof candidates / sizeof *candidates; index++)
        if (is_memory_folder(candidates[index]))
            return candidates[index];
    fputs("burdockcart: no writable memory file system found; set "
          "BURDOCKCART_UNPACK_DIR\n", stderr);
    exit(EXIT_LOADER);
}

static void make_parents(char *path)
{
    char *slash;

    for (slash = strchr(path + 1, '/'); slash; slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) && errno != EEXIST)
            fail("cannot create folder", path);
        *slash = '/';
    }
}

static void write_file(struct archive *source, const char *path, mode_t mode)
{
    char buffer[COPY_BYTES];
    ssize_t count;
    int file = open(path, O_WRONLY | O_CREAT | O_EXCL, mode & 0700);

    if (file < 0)
        fail("cannot create file", path);
    while ((count = archive_read_data(source, buffer, sizeof buffer)) > 0)
        if (write(file, buffer, (size_t)count) != count)
            fail("cannot write file", path);
    if (count < 0 || close(file))
        fail("cannot unpack", path);
}

static void unpack(int self, const char *folder)
{
    struct archive *source = archive_read_new();
    struct archive_entry *entry;
    char path[PATH_MAX];
    int status;

    archive_read_support_format_tar(source);
    archive_read_support_filter_gzip(source);
    if (archive_read_open_fd(source, self, COPY_BYTES) != ARCHIVE_OK)
        fail(archive_error_string(source), "archive");
    while ((status = archive_read_next_header(source, &entry)) == ARCHIVE_OK) {
        const char *name = archive_entry_pathname(entry);

        if (strstr(name, "..") || *name == '/')
            fail("unexpected name in archive", name);
        if (snprintf(path, sizeof path, "%s/%s", folder, name)
                >= (int)sizeof path)
            fail("name too long", name);
        make_parents(path);
        if (archive_entry_filetype(entry) == AE_IFLNK) {
            if (symlink(archive_entry_symlink(entry), path))
                fail("cannot create link", path);
        } else if (archive_entry_filetype(entry) == AE_IFREG) {
            write_file(source, path, archive_entry_perm(entry));
        }
    }
    if (status != ARCHIVE_EOF)
        fail(archive_error_string(source), "archive");
    archive_read_free(source);
}

static int remove_entry(const char *path, const struct stat *status, int type,
                        struct FTW *walk)
{
    (void)status;
    (void)type;
    (void)walk;
    return remove(path);
}

static void remove_tree(const char *folder)
{
    if (nftw(folder, remove_entry, MAX_OPEN_FOLDERS, FTW_DEPTH | FTW_PHYS))
        fail("cannot remove folder", folder);
}

/* Positions the file at the archive and returns the build id. */
static void find_archive(int self, char *build_id)
{
    char trailer[TRAILER_BYTES + 1] = "";
    off_t size;

    errno = 0;
    if (lseek(self, -TRAILER_BYTES, SEEK_END) < 0
            || read(self, trailer, TRAILER_BYTES) != TRAILER_BYTES
            || memcmp(trailer, MAGIC, MAGIC_BYTES))
        fail("no program in this file", "/proc/self/exe");
    memcpy(build_id, trailer + MAGIC_BYTES, NUMBER_BYTES);
    build_id[NUMBER_BYTES] = '\0';
    size = (off_t)strtoull(trailer + MAGIC_BYTES + NUMBER_BYTES, NULL, 16);
    if (lseek(self, -TRAILER_BYTES - size, SEEK_END) < 0)
        fail("truncated file", "/proc/self/exe");
}

/* Refuses a folder that another user could have filled. */
static void check_owner(const char *folder)
{
    struct stat status;

    errno = 0;
    if (lstat(folder, &status))
        fail("cannot read folder", folder);
    if (!S_ISDIR(status.st_mode) || status.st_uid != geteuid()
            || (status.st_mode & 0077)) {
        errno = EPERM;
        fail("folder is not private to this user", folder);
    }
}

int main(int argc, char **argv)
{
    char build_id[NUMBER_BYTES + 1], folder[PATH_MAX - 64];
    char fresh[PATH_MAX - 32], program[PATH_MAX];
    int self = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);

    (void)argc;
    if (self < 0)
        fail("cannot open", "/proc/self/exe");
    find_archive(self, build_id);
    snprintf(folder, sizeof folder, "%s/burdockcart-%u-%s", unpack_folder(),
             (unsigned)geteuid(), build_id);
    if (access(folder, F_OK)) {
        snprintf(fresh, sizeof fresh, "%s.%d", folder, (int)getpid());
        if (mkdir(fresh, 0700))
            fail("cannot create folder", fresh);
        unpack(self, fresh);
        /* A second daemon that unpacked at the same time may have won. */
        if (rename(fresh, folder)) {
            if (errno != ENOTEMPTY && errno != EEXIST)
                fail("cannot rename folder", fresh);
            remove_tree(fresh);
        }
    }
    check_owner(folder);
    snprintf(program, sizeof program, "%s/%s", folder, PROGRAM);
    execv(program, argv);
    fail("cannot run", program);
    return EXIT_LOADER;
}
